/// Affinity keys that have recently failed over from a server.
#pragma once
#include <cstddef>
#include <deque>
#include <map>
#include <string>
#include <utility>

#include "base/server_index.h"
#include "base/time.h"

namespace headrouter {

/// For each affinity key the server that failed it last. Bounded in size, and entries end after half a
/// minute.
class FailoverTable {
   public:
    struct Entry {
        ServerIndex server;
        TimePoint at;
        bool is_parked = false;  ///< the server may still have the connection; its packets went elsewhere
    };

    struct State {
        std::map<std::string, Entry> entries;                  ///< by affinity key
        std::deque<std::pair<std::string, TimePoint>> by_age;  ///< each record(), also of keys recorded again
    };

    [[nodiscard]] const State& state() const { return state_; }
    void restore(State state) { state_ = std::move(state); }

    /// The server failed a request with this key, or (`is_parked`) lost its packets. No effect without a key.
    void record(TimePoint now, const std::string& key, ServerIndex server, bool is_parked);
    /// The key's entry, null where it has none or an old one. Valid until the next record().
    const Entry* find(TimePoint now, const std::string& key) const;

   private:
    State state_;
};

}  // namespace headrouter
