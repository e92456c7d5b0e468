/// A server as the balancers that pool their loads see it.
#pragma once
#include "base/server_index.h"
#include "gossip/gossip_message.h"

namespace headrouter::fleet_load {

/// A server to which this balancer may send connections.
struct EligibleServer {
    ServerIndex server;
    gossip::ShortServerId short_id;
    double weight;
};

}  // namespace headrouter::fleet_load
