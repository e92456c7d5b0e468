/// The policy's decisions, as calls to its host.
#pragma once
#include <string>

#include "policy/types.h"

namespace headrouter {

/// Value of `replica` in PolicyActions::send_gossip: all balancers but this one.
constexpr int all_other_replicas = -1;

/// Carries out the policy's decisions. Called only while the policy handles an event.
class PolicyActions {
   public:
    virtual ~PolicyActions() = default;
    /// Sends the request's next attempt to the server, and cancels it when `timeout` has passed.
    virtual void start_attempt(RequestId, const ServerId&, Duration timeout) = 0;
    /// Answers that the request was not executed and may be retried, after `retry_after` unless that is zero.
    virtual void reject(RequestId, Duration retry_after) = 0;
    /// Answers that the request failed, and that it may have run.
    virtual void fail(RequestId) = 0;
    /// Ends an established connection so that its client reconnects and is placed again.
    virtual void migrate(RequestId) = 0;
    /// Requests a call of on_timer with this token at this time, or at once if the time has passed.
    virtual void set_timer(TimePoint, uint64_t token) = 0;
    /// Requests the endpoint list and each later change of it.
    virtual void watch_endpoints() = 0;
    /// Sends a message to the balancer with that replica index, or to `all_other_replicas`.
    virtual void send_gossip(int replica, const std::string& bytes) = 0;
};

}  // namespace headrouter
