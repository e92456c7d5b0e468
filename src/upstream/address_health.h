/// Detects servers that have become unresponsive as a whole: hung, cut off from the network or vanished. Does
/// no I/O.
#pragma once
#include <string>
#include <unordered_map>
#include <utility>

#include "base/time.h"

namespace headrouter {

/// The combined state of all attempts to one server address.
struct AddressHealth {
    int attempts = 0;             ///< attempts in progress or established
    TimePoint last_received;      ///< when the address last sent any bytes
    int failed_connects = 0;      ///< connects that have timed out since `last_received`
    int unanswered_attempts = 0;  ///< attempts that, at the last check, had a line without an answer
    TimePoint oldest_unanswered;  ///< since when, at the last check, the longest of them had waited
};

/// Tracks the health of each address to which there are attempts. Clients send lines only every few seconds,
/// so a check of each connection by itself would find the last silent connection of a server long after the
/// first. Several unanswered attempts, with no bytes at all from the address, show sooner that the whole
/// server is unresponsive: an overloaded server still answers some of them.
class AddressHealthTable {
   public:
    /// Keyed by the bytes of the socket address.
    using State = std::unordered_map<std::string, AddressHealth>;

    const State& state() const { return addresses_; }
    void restore(State state) { addresses_ = std::move(state); }

    void add_attempt(const std::string& address) { ++addresses_[address].attempts; }
    void remove_attempt(const std::string& address);
    void on_received(const std::string& address, TimePoint now);
    void on_connect_timeout(const std::string& address);
    void clear() { addresses_.clear(); }

    /// Begins a check and resets the counts of unanswered attempts. `process_stall` is the time for which
    /// this process did not run since the last check; it does not count as silence of a server.
    void begin_check(TimePoint now, Duration process_stall);

    /// Adds to the check an attempt whose oldest unanswered line was forwarded at `unanswered_since`; the
    /// attempt does not count as unanswered if that was only a moment before `now`.
    void count_unanswered(const std::string& address, TimePoint now, TimePoint unanswered_since);

    /// Returns whether the address as a whole is silent, as of the check that was begun last.
    bool is_silent(const std::string& address, TimePoint now) const;

   private:
    State addresses_;
};

}  // namespace headrouter
