/// @file
/// The two interfaces between the exchange of messages with the other balancers and the request router. All
/// calls are made on the thread of the event loop.
#pragma once
#include <string>
#include <string_view>

#include "policy/balancing_policy.h"

namespace headrouter {

/// Sends to the other balancers, without any guarantee: a message may be lost, doubled, late or out of order.
class GossipInterface {
   public:
    virtual ~GossipInterface() = default;

    /// Sends `bytes` to the balancer with `replica_index`, or to all others where it is `all_other_replicas`.
    virtual void publish(int replica_index, std::string_view bytes) = 0;
};

/// What the other balancers send.
class GossipEvents {
   public:
    virtual ~GossipEvents() = default;

    /// One message of the balancer with `replica_index`; it may be malformed.
    virtual void on_gossip(int replica_index, const std::string& bytes) = 0;
};

}  // namespace headrouter
