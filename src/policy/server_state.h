/// Holds the policy's state of one server.
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

/// Holds the state of one server. The ServerTable keeps servers in the order in which endpoint lists first
/// named them and never removes them, so that indexes stay valid.
struct ServerState {
    Endpoint endpoint;
    uint64_t id_hash = 0;
    double weight = 1;  ///< the endpoint's weight, reduced for servers of other zones
    std::vector<RequestId> connections;
    ConnectionLoad load;
    std::optional<size_t> degraded_index;  ///< in the latest FleetView; none if not degraded
    std::optional<int> named_in_update;    ///< number of the latest endpoint update that named the server
    int pending_attempts = 0;
    int protected_connections = 0;
    TimePoint established_at;  ///< latest established attempt; unused, kept for state version 1
    /// Factor on a new connection's load in the check whether this balancer's share of the server has room
    /// for the connection: exponentially distributed with mean 1, drawn by replica index.
    double subset_draw = 1;
    double fleet_load = 0;              ///< latest published load over all balancers, in mean load units
    double own_load_in_fleet_load = 0;  ///< this balancer's part of `fleet_load`, in mean load units

    OutlierDetector outliers;
    LoadLimit load_limit;
    SlowStart slow_start;
    SurplusDrain drain;
};

}  // namespace headrouter
