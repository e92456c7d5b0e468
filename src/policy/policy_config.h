/// The configuration of one balancer's policy.
#pragma once
#include <vector>

#include "policy/types.h"
#include "slow_start/warmup_permits.h"

namespace headrouter {

/// Settings of the platform and of the operator. Constant between two calls of reconfigure().
struct PolicyConfig {
    std::vector<RequestClass> request_classes;
    int tenants = 0;
    int max_attempts = 1;
    uint64_t replica_index = 0;  ///< index of this balancer among the replica_count balancers
    int zone = 0;
    double cross_zone_cost = 0;    ///< cost of a request that crosses zones, as a fraction of all service
    bool polls_endpoints = false;  ///< the policy requests the endpoint list, and again after errors
    bool passthrough = false;      ///< packets are passed through; later ones may arrive at another balancer
    bool groups = false;           ///< requests may name affinity groups
    bool advises_retry_after = false;     ///< rejects tell clients when to retry
    Duration parked_connection_lifetime;  ///< how long a server keeps the connection of a client whose
                                          ///< packets arrive at another balancer
    Duration max_retry_after;
    Duration step;               ///< minimum time between two batches of the host's events
    Duration slow_start_time;    ///< time from the launch of a server until it is warm
    int replica_count = 1;       ///< number of balancers in this tier, including this one
    Duration wall_clock_offset;  ///< wall clock minus the policy's clock; gossip rounds follow the wall clock
    bool gossip_enabled = false;  ///< balancers may send messages to each other
    // Settings of the operator; the features are off by default.
    bool subset_order = false;           ///< order the servers deterministically by replica_index
    bool aggregates_fleet_load = false;  ///< aggregate each server's headroom over all balancers
    double overload_multiple = 3;  ///< a cold server fails when it is sent this multiple of its capacity
    Duration overload_window = seconds(1);  ///< time within which that load makes it fail
    double quota = 0;  ///< connections of all tenants over all balancers; zero if unknown

    /// Returns the slow start that all balancers apply to a cold server.
    slow_start::SlowStartConfig slow_start_config() const;
    /// Returns the strictest message objective of any request class; if none has one, a value longer than any
    /// message takes.
    Duration shortest_message_objective() const;
};

}  // namespace headrouter
