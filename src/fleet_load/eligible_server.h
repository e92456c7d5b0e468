/// Describes a server for load pooling between balancers.
#pragma once
#include "base/server_index.h"
#include "gossip/gossip_message.h"

namespace headrouter::fleet_load {

/// Describes a server to which this balancer may send connections.
struct EligibleServer {
    ServerIndex server;
    gossip::ShortServerId short_id = 0;
    double weight = 0;
};

}  // namespace headrouter::fleet_load
