/// @file
/// The two interfaces between gossip, the exchange of messages with the other balancers, and the request
/// router. All calls are made on the event loop's thread.
#pragma once
#include <string>
#include <string_view>

#include "policy/balancing_policy.h"

namespace headrouter {

/// Sends messages to the other balancers without delivery guarantees: a message may be lost, duplicated,
/// delayed or reordered.
class GossipInterface {
   public:
    virtual ~GossipInterface() = default;

    /// Sends `bytes` to the balancer with `replica_index`, or to all other balancers if it is
    /// `all_other_replicas`.
    virtual void publish(int replica_index, std::string_view bytes) = 0;
};

/// Receives the messages of the other balancers.
class GossipEvents {
   public:
    virtual ~GossipEvents() = default;

    /// Handles one message from the balancer with `replica_index`. The message may be malformed.
    virtual void on_gossip(int replica_index, const std::string& bytes) = 0;
};

}  // namespace headrouter
