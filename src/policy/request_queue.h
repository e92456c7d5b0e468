/// Requests that wait until a server may take them.
#pragma once
#include <deque>
#include <utility>

#include "base/time.h"
#include "policy/policy_actions.h"
#include "policy/policy_config.h"
#include "policy/request_state.h"

namespace headrouter {

/// Queued requests in the order in which they came, and the timer by which all of them are tried again.
class RequestQueue {
   public:
    struct State {
        std::deque<RequestId> waiting;
        bool has_timer = false;  ///< the timer by which the waiting requests are looked at again is set
    };

    [[nodiscard]] const State& state() const { return state_; }
    void restore(State state) { state_ = std::move(state); }

    /// Both must outlive it.
    RequestQueue(const PolicyConfig& config, PolicyActions& actions) : config_(config), actions_(actions) {}

    /// Whether the request would be tried again before its deadline.
    bool has_time_for(TimePoint now, const RequestState&) const;
    /// Queues the request. Sets the timer, unless it is set.
    void add(TimePoint now, RequestState&);
    /// The timer rang: empties the queue. Some of the requests may be gone or queued no longer.
    std::deque<RequestId> take_all();

   private:
    const PolicyConfig& config_;
    PolicyActions& actions_;
    State state_;
};

}  // namespace headrouter
