/// Measures how many of the recently established connections were reset soon after.
/// Overloaded servers drop their newest connections. The policy rejects reconnects at this rate, so that
/// reconnects do not keep the servers overloaded after the cause is over.
#pragma once
#include "base/sliding_window.h"

namespace headrouter {

/// Computes the ratio of early resets to established connections in the last five seconds. Not thread-safe.
class EarlyResetRate {
   public:
    struct State {
        SlidingWindow<5> established{seconds(1)};
        SlidingWindow<5> resets{seconds(1)};
    };

    [[nodiscard]] const State& state() const { return state_; }
    void restore(const State& state) { state_ = state; }

    void on_established(TimePoint now) { state_.established.add(now, 1); }

    /// Counts a reset if the connection's attempt was sent within the window. Resets of older connections do
    /// not show whether new ones are kept.
    void on_reset(TimePoint now, TimePoint sent_at) {
        if (now - sent_at < window) state_.resets.add(now, 1);
    }

    /// Returns the rate: at least 0, and slightly over 1 where establishments have left the window before
    /// their resets. One establishment is added, so that the rate does not rest on a single connection.
    [[nodiscard]] double rate(TimePoint now) {
        return state_.resets.sum(now) / (state_.established.sum(now) + 1);
    }

   private:
    static constexpr Duration window = seconds(5);
    State state_;
};

}  // namespace headrouter
