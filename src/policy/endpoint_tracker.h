/// Keeps the watch of the endpoint list alive.
#pragma once
#include "base/pcg32.h"
#include "policy/policy_actions.h"
#include "policy/policy_config.h"

namespace headrouter {

/// Requests the endpoint list and, after a failure, requests it again with jittered exponential backoff.
class EndpointTracker {
   public:
    static constexpr Duration first_retry_pause = millis(300);

    struct State {
        bool is_request_pending = false;  ///< a request has no answer yet
        bool is_watching = false;         ///< the last answer was a list
        TimePoint requested_at;           ///< unused; kept because version 1 of the saved state has it
        Duration retry_pause = first_retry_pause;
    };

    [[nodiscard]] const State& state() const { return state_; }
    void restore(const State& state) { state_ = state; }

    /// The arguments must outlive the tracker.
    EndpointTracker(const PolicyConfig& config, PolicyActions& actions, Pcg32& random)
        : config_(config), actions_(actions), random_(random) {}

    /// Requests the list and each later change of it.
    void request(TimePoint now);
    /// Handles the timer that an error set: requests the list again unless it has arrived in the meantime.
    void on_retry_timer(TimePoint now);
    /// Records that an update arrived. A cached list has no effect, because it does not come from the watch.
    void on_update(EndpointUpdateKind kind);
    /// Handles a list that could not be read, or the end of its watch. Sets the retry timer if the policy is
    /// configured to poll endpoints.
    void on_error(TimePoint now);

   private:
    // Far below the time after which a draining server assumes that every balancer knows that it drains.
    static constexpr Duration max_retry_pause = seconds(2);

    const PolicyConfig& config_;
    PolicyActions& actions_;
    Pcg32& random_;
    State state_;
};

}  // namespace headrouter
