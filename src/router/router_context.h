/// Shared dependencies of the classes that make up the request router.
#pragma once
#include "admin/counters.h"
#include "admin/log.h"
#include "admin/metrics.h"
#include "capture/recording_policy.h"
#include "config/cluster_config.h"
#include "discovery/endpoint_table.h"
#include "downstream/downstream_interface.h"
#include "router/active_requests.h"
#include "router/policy_action_queue.h"
#include "router/request_adopter.h"
#include "router/request_completion.h"
#include "router/router_environment.h"
#include "upstream/upstream_interface.h"

namespace headrouter {

/// References to objects that RequestRouter owns or was constructed with. They outlive every holder of a
/// copy.
struct RouterContext {
    const ClusterConfig& config;
    const RouterEnvironment& environment;
    DownstreamInterface& downstream;
    UpstreamInterface& upstream;
    const EndpointTable& endpoints;
    ActiveRequests& active_requests;
    RequestAdopter& adopter;
    RequestCompletion& completion;
    capture::RecordingPolicy& policy;
    PolicyActionQueue& actions;
    admin::SetupCounters& setup_counters;
    Counters& counters;
    Log& log;
};

}  // namespace headrouter
