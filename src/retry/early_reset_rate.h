/// How many of the connections that were established of late were reset at once.
/// Overloaded servers drop their newest connections. The policy rejects reconnects at this rate, against
/// reconnects that keep the servers overloaded after the cause is over.
#pragma once
#include "base/sliding_window.h"

namespace headrouter {

struct ComponentStateAccess;

/// Early resets over establishments, both of the last five seconds. Not thread-safe.
class EarlyResetRate {
   public:
    void on_established(TimePoint now) { established_.add(now, 1); }

    /// A reset counts only where the connection was established within the window: those of older ones say
    /// nothing of whether new ones hold.
    void on_reset(TimePoint now, TimePoint established_at) {
        if (now - established_at < window) resets_.add(now, 1);
    }

    /// Between 0 and, where establishments have left the window before their resets, a little over 1. Counts
    /// one more establishment, against judging by a single one.
    [[nodiscard]] double rate(TimePoint now) { return resets_.sum(now) / (established_.sum(now) + 1); }

   private:
    friend struct ComponentStateAccess;
    static constexpr Duration window = seconds(5);
    SlidingWindow<5> established_{seconds(1)};
    SlidingWindow<5> resets_{seconds(1)};
};

}  // namespace headrouter
