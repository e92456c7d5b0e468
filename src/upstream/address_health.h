/// Finds servers that have fallen silent as a whole: hung, cut off or vanished. No I/O.
#pragma once
#include <string>
#include <unordered_map>
#include <utility>

#include "base/time.h"

namespace headrouter {

/// What the attempts to one server address show together.
struct AddressHealth {
    int attempts = 0;             ///< under way or established
    TimePoint last_received;      ///< when anything came from there
    int failed_connects = 0;      ///< timed out since then
    int unanswered_attempts = 0;  ///< at the last check, by a line that waits for an answer
    TimePoint oldest_unanswered;  ///< at the last check, since when one of them waits
};

/// The health of each address to which there are attempts. Clients speak every few seconds only, so the last
/// of a server's connections would be found silent long after the first; several unanswered ones, with
/// nothing at all coming from the address, tell of the whole server sooner: a busy one still answers some.
class AddressHealthTable {
   public:
    /// By the bytes of the socket address.
    using State = std::unordered_map<std::string, AddressHealth>;

    const State& state() const { return addresses_; }
    void restore(State state) { addresses_ = std::move(state); }

    void add_attempt(const std::string& address) { ++addresses_[address].attempts; }
    void remove_attempt(const std::string& address);
    void on_received(const std::string& address, TimePoint now);
    void on_connect_timeout(const std::string& address);
    void clear() { addresses_.clear(); }

    /// Begins a check: unanswered attempts are then counted anew. `stopped`: how long this process did not
    /// run before, which is no silence of a server.
    void begin_check(TimePoint now, Duration stopped);
    void count_unanswered(const std::string& address, TimePoint now, TimePoint unanswered_since);
    bool is_silent(const std::string& address, TimePoint now) const;

   private:
    State addresses_;
};

}  // namespace headrouter
