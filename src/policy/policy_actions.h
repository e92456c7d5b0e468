/// What the policy decides, as calls to whoever hosts it.
#pragma once
#include <string>

#include "policy/types.h"

namespace headrouter {

/// `replica` of send_gossip: all balancers but this one.
constexpr int all_other_replicas = -1;

/// Carries the policy's decisions out. Called from within the policy's events, never at another time.
class PolicyActions {
   public:
    virtual ~PolicyActions() = default;
    /// Sends the request's next attempt to the server, and cancels it when `timeout` has passed.
    virtual void start_attempt(RequestId, const ServerId&, Duration timeout) = 0;
    /// Answers that nothing was done and may be tried again; `retry_after` zero: without advice when.
    virtual void reject(RequestId, Duration retry_after) = 0;
    /// Answers that the request failed, and that it may have run.
    virtual void fail(RequestId) = 0;
    /// Ends an established connection so that its client comes back and is placed anew.
    virtual void migrate(RequestId) = 0;
    /// Asks for on_timer with this token at this time, or at once where that has passed.
    virtual void set_timer(TimePoint, uint64_t token) = 0;
    /// Asks for the endpoint list and for each change of it.
    virtual void watch_endpoints() = 0;
    /// Sends a message to the balancer with that replica index, or to `all_other_replicas`.
    virtual void send_gossip(int replica, const std::string& bytes) = 0;
};

}  // namespace headrouter
