/// Holds requests until a server may take them.
#pragma once
#include <deque>
#include <utility>

#include "base/time.h"
#include "policy/policy_actions.h"
#include "policy/policy_config.h"
#include "policy/request_state.h"

namespace headrouter {

/// Queues requests in order of arrival, and sets the timer after which all of them are tried again.
class RequestQueue {
   public:
    struct State {
        std::deque<RequestId> waiting;
        bool has_timer = false;  ///< the timer after which the waiting requests are tried again is set
    };

    [[nodiscard]] const State& state() const { return state_; }
    void restore(State state) { state_ = std::move(state); }

    /// Both arguments must outlive the queue.
    RequestQueue(const PolicyConfig& config, PolicyActions& actions) : config_(config), actions_(actions) {}

    /// Returns whether the request would be tried again before its deadline.
    bool has_time_for(TimePoint now, const RequestState&) const;
    /// Queues the request, and sets the timer unless it is already set.
    void add(TimePoint now, RequestState&);
    /// Empties the queue after its timer has expired, and returns the requests' ids. Some of the requests may
    /// have been removed or may no longer be queued.
    std::deque<RequestId> take_all();

   private:
    const PolicyConfig& config_;
    PolicyActions& actions_;
    State state_;
};

}  // namespace headrouter
