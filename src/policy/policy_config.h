/// The configuration of one balancer's policy.
#pragma once
#include <vector>

#include "policy/types.h"
#include "slow_start/warmup_permits.h"

namespace headrouter {

/// What the platform and the operator configure. Fixed from one reconfigure() to the next.
struct PolicyConfig {
    std::vector<RequestClass> request_classes;
    int tenants = 0;
    int max_attempts = 1;
    uint64_t replica_index = 0;  ///< of this balancer among replica_count
    int zone = 0;
    double cross_zone_cost = 0;        ///< of a request that crosses zones, as a part of all service
    bool polls_endpoints = false;      ///< the policy asks for the endpoint list, and again after errors
    bool passthrough = false;          ///< packets pass through, and may come to another balancer at any time
    bool groups = false;               ///< requests name affinity groups
    bool advises_retry_after = false;  ///< rejects say when to ask again
    Duration parked_connection_lifetime;  ///< how long a server keeps the connection of a client that another
                                          ///< balancer serves
    Duration max_retry_after;
    Duration step;                ///< the least time between two batches of the host's events
    Duration slow_start_time;     ///< from the launch of a server until it is warm
    int replica_count = 1;        ///< balancers of this tier, this one counted
    Duration wall_clock_offset;   ///< wall clock less the policy's: gossip rounds are by the wall clock
    bool gossip_enabled = false;  ///< balancers may send one another messages
    // The operator's, off unless switched on.
    bool subset_order = false;           ///< a deterministic order of servers by replica_index
    bool aggregates_fleet_load = false;  ///< headroom of each server is aggregated over all balancers
    double overload_multiple = 3;        ///< a cold server falls over when sent so many times what it can do
    Duration overload_window = seconds(1);  ///< within this time
    double quota = 0;  ///< connections of all tenants over all balancers; zero where unknown

    /// The slow start that all balancers apply to a cold server.
    slow_start::SlowStartConfig slow_start_config() const;
    /// The strictest message objective of any request class; beyond all of them where none has one.
    Duration shortest_message_objective() const;
};

}  // namespace headrouter
