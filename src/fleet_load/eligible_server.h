/// A server as the balancers that pool their loads see it.
#pragma once
#include "base/server_index.h"
#include "gossip/gossip_message.h"

namespace headrouter::fleet_load {

/// A server to which this balancer may send connections.
struct EligibleServer {
    ServerIndex server;
    gossip::ShortServerId short_id = 0;
    double weight = 0;
};

}  // namespace headrouter::fleet_load
