/// Records affinity keys that have recently failed over from a server.
#pragma once
#include <cstddef>
#include <deque>
#include <map>
#include <string>
#include <utility>

#include "base/server_index.h"
#include "base/time.h"

namespace headrouter {

/// Keeps, for each affinity key, the server that last failed it. The table is bounded in size, and entries
/// expire after half a minute.
class FailoverTable {
   public:
    struct Entry {
        ServerIndex server;
        TimePoint at;
        bool is_parked = false;  ///< the server may still have the connection; its packets now go elsewhere
    };

    struct State {
        std::map<std::string, Entry> entries;                  ///< by affinity key
        std::deque<std::pair<std::string, TimePoint>> by_age;  ///< one for each record(), also of known keys
    };

    [[nodiscard]] const State& state() const { return state_; }
    void restore(State state) { state_ = std::move(state); }

    /// Records that the server failed a request with this key or, if `is_parked`, that the key's packets
    /// stopped going to the server. No effect if the key is empty.
    void record(TimePoint now, const std::string& key, ServerIndex server, bool is_parked);
    /// Returns the key's entry, or null if there is none or if it has expired. Valid until the next record().
    const Entry* find(TimePoint now, const std::string& key) const;

   private:
    State state_;
};

}  // namespace headrouter
