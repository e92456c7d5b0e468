/// @file
/// The balancer's two clocks: the steady one, by which all is timed, and the wall clock, in which others tell
/// times.
#pragma once
#include <chrono>

#include "base/time.h"

namespace headrouter {

/// Converts wall clock times to the steady clock by the offset that was between the two when this object was
/// made. A wall clock that is set anew later so never makes an old server look restarted.
class Clock {
   public:
    Clock() : wall_to_steady_(now() - TimePoint{wall_clock_ns()}) {}

    /// The steady clock, which never goes back.
    static TimePoint now() { return {nanoseconds_of(std::chrono::steady_clock::now().time_since_epoch())}; }

    /// `unix_ms`: milliseconds since 1970.
    TimePoint from_unix_ms(int64_t unix_ms) const { return TimePoint{unix_ms * ns_per_ms} + wall_to_steady_; }

    /// What is to be added to a time of the steady clock to get nanoseconds since 1970.
    Duration wall_clock_offset() const { return Duration{} - wall_to_steady_; }

    /// Takes over the offset that an earlier process on this machine found: times that were converted by it
    /// stay comparable, also where the wall clock was stepped in between.
    void set_wall_clock_offset(Duration offset) { wall_to_steady_ = Duration{} - offset; }

   private:
    static constexpr int64_t ns_per_ms = 1'000'000;

    template <class ChronoDuration>
    static int64_t nanoseconds_of(ChronoDuration duration) {
        return std::chrono::duration_cast<std::chrono::nanoseconds>(duration).count();
    }
    static int64_t wall_clock_ns() {
        return nanoseconds_of(std::chrono::system_clock::now().time_since_epoch());
    }

    Duration wall_to_steady_;
};

}  // namespace headrouter
