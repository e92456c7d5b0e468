/// Requests that wait until a server may take them.
#pragma once
#include <deque>

#include "base/time.h"
#include "policy/policy_actions.h"
#include "policy/policy_config.h"
#include "policy/request_state.h"

namespace headrouter {

struct StateAccess;

/// Queued requests in the order in which they came, and the timer by which all of them are tried again.
class RequestQueue {
   public:
    /// Both must outlive it.
    RequestQueue(const PolicyConfig& config, PolicyActions& actions) : config_(config), actions_(actions) {}

    /// Whether the request would be tried again before its deadline.
    bool has_time_for(TimePoint now, const RequestState&) const;
    /// Queues the request. Sets the timer, unless it is set.
    void add(TimePoint now, RequestState&);
    /// The timer rang: empties the queue. Some of the requests may be gone or queued no longer.
    std::deque<RequestId> take_all();

   private:
    friend struct StateAccess;

    const PolicyConfig& config_;
    PolicyActions& actions_;
    std::deque<RequestId> waiting_;
    bool has_timer_ = false;
};

}  // namespace headrouter
