/// Determines which servers this balancer fills first where its shares are below one connection.
#pragma once
#include "policy/policy_config.h"
#include "policy/server_table.h"

namespace headrouter {

/// Sets `ServerState::subset_draw` of each server: by this balancer's index among the replicas if
/// `subset_order` is on and that index is known, else by independent draws. To be called after each change of
/// the servers or of the configuration.
void draw_subset(const PolicyConfig&, ServerTable&);

}  // namespace headrouter
