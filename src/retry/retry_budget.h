/// Limits the retries of requests whose earlier attempts may already have cost a server work.
/// Prevents retry storms, which keep a fleet overloaded after the cause is over.
#pragma once
#include "base/sliding_window.h"

namespace headrouter {

/// Limits retries to a fraction of the requests, both counted over the last five seconds. Not thread-safe.
class RetryBudget {
   public:
    struct State {
        SlidingWindow<5> requests{seconds(1)};
        SlidingWindow<5> retries{seconds(1)};
    };

    [[nodiscard]] const State& state() const { return state_; }
    void restore(const State& state) { state_ = state; }

    void on_request(TimePoint now) { state_.requests.add(now, 1); }
    void on_retry(TimePoint now) { state_.retries.add(now, 1); }

    /// Returns whether one more retry may be sent now.
    [[nodiscard]] bool allows_retry(TimePoint now) {
        return state_.retries.sum(now) < min_retries + retry_ratio * state_.requests.sum(now);
    }

   private:
    /// Retries allowed in the window regardless of traffic: with few requests, retries are what reveals a
    /// failed server.
    static constexpr double min_retries = 2;
    /// Additional retries allowed for each request in the window.
    static constexpr double retry_ratio = 0.2;
    State state_;
};

}  // namespace headrouter
