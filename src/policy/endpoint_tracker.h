/// Keeping the watch of the endpoint list alive.
#pragma once
#include "base/pcg32.h"
#include "policy/policy_actions.h"
#include "policy/policy_config.h"

namespace headrouter {

/// Asks for the endpoint list and, after a failure, asks again: with jitter, and after pauses that double.
class EndpointTracker {
   public:
    static constexpr Duration first_retry_pause = millis(300);

    struct State {
        bool is_request_pending = false;  ///< and not answered yet
        bool is_watching = false;         ///< the last answer was a list
        TimePoint requested_at;           ///< read by no rule, kept for the form of version 1
        Duration retry_pause = first_retry_pause;
    };

    [[nodiscard]] const State& state() const { return state_; }
    void restore(const State& state) { state_ = state; }

    /// All must outlive it.
    EndpointTracker(const PolicyConfig& config, PolicyActions& actions, Pcg32& random)
        : config_(config), actions_(actions), random_(random) {}

    /// Asks for the list and for each change of it.
    void request(TimePoint now);
    /// The timer that an error has set: asks again unless the list has come since.
    void on_retry_timer(TimePoint now);
    /// An update arrived. A cached list does not come from the watch, and so says nothing of it.
    void on_update(EndpointUpdateKind kind);
    /// The list could not be read, or its watch has ended.
    void on_error(TimePoint now);

   private:
    // Far below the time after which a draining server counts on being known as such everywhere.
    static constexpr Duration longest_retry_pause = seconds(2);

    const PolicyConfig& config_;
    PolicyActions& actions_;
    Pcg32& random_;
    State state_;
};

}  // namespace headrouter
