/// @file
/// The balancer's two clocks: the steady clock, which times everything, and the wall clock, in which other
/// programs state times.
#pragma once
#include <chrono>

#include "base/time.h"

namespace headrouter {

/// Converts wall clock times to the steady clock. The offset between the two clocks is fixed when this object
/// is constructed, so that a later step of the wall clock does not make an old server look restarted.
class Clock {
   public:
    Clock() : wall_to_steady_(now() - TimePoint{wall_clock_ns()}) {}

    /// Returns the time of the steady clock, which never goes backwards.
    static TimePoint now() { return {nanoseconds_of(std::chrono::steady_clock::now().time_since_epoch())}; }

    /// Converts `unix_ms`, milliseconds since 1970, to the steady clock.
    TimePoint from_unix_ms(int64_t unix_ms) const { return TimePoint{unix_ms * ns_per_ms} + wall_to_steady_; }

    /// Returns the offset to add to a time of the steady clock to get nanoseconds since 1970.
    Duration wall_clock_offset() const { return Duration{} - wall_to_steady_; }

    /// Sets the offset that an earlier process on this machine used. Times converted by that process then
    /// stay comparable, even if the wall clock was stepped in between.
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
