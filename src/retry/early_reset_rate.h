/// How many of the connections that were established of late were reset at once.
/// Overloaded servers drop their newest connections. The policy rejects reconnects at this rate, against
/// reconnects that keep the servers overloaded after the cause is over.
#pragma once
#include "base/sliding_window.h"

namespace headrouter {

/// Early resets over establishments, both of the last five seconds. Not thread-safe.
class EarlyResetRate {
   public:
    struct State {
        SlidingWindow<5> established{seconds(1)};
        SlidingWindow<5> resets{seconds(1)};
    };

    [[nodiscard]] const State& state() const { return state_; }
    void restore(const State& state) { state_ = state; }

    void on_established(TimePoint now) { state_.established.add(now, 1); }

    /// A reset counts only where the connection's attempt was sent within the window: those of older ones say
    /// nothing of whether new ones hold.
    void on_reset(TimePoint now, TimePoint sent_at) {
        if (now - sent_at < window) state_.resets.add(now, 1);
    }

    /// Between 0 and, where establishments have left the window before their resets, a little over 1. Counts
    /// one more establishment, against judging by a single one.
    [[nodiscard]] double rate(TimePoint now) {
        return state_.resets.sum(now) / (state_.established.sum(now) + 1);
    }

   private:
    static constexpr Duration window = seconds(5);
    State state_;
};

}  // namespace headrouter
