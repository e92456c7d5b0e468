// Everything that the policy knows of one server.
#pragma once
#include <optional>
#include <vector>

#include "load/connection_load.h"
#include "policy/load_limit.h"
#include "policy/outlier_detector.h"
#include "policy/slow_start.h"
#include "policy/surplus_drain.h"
#include "policy/types.h"

namespace headrouter {

/// One server, in the order in which endpoint lists first named it. Never removed, so that indexes hold.
struct ServerState {
    Endpoint endpoint;
    uint64_t id_hash = 0;
    double weight = 1;  ///< the endpoint's, less for other zones
    std::vector<RequestId> connections;
    ConnectionLoad load;
    std::optional<size_t> degraded_index;  ///< in the latest FleetView; none: needs no look of its own
    std::optional<int> named_in_update;    ///< the latest endpoint update that named it
    int pending_attempts = 0;
    int protected_connections = 0;
    TimePoint established_at;  ///< the latest; read by no rule, kept for the form of version 1
    /// What a connection counts before the own share takes it here: exponential with mean 1, by replica
    /// index.
    double subset_draw = 1;
    double fleet_load = 0;              ///< over all balancers, as last published, in mean load units
    double own_load_in_fleet_load = 0;  ///< this balancer's part of it

    OutlierDetector outliers;
    LoadLimit load_limit;
    SlowStart slow_start;
    SurplusDrain drain;
};

}  // namespace headrouter
