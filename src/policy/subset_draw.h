/// Which servers this balancer fills first where its shares are below one connection.
#pragma once
#include "policy/policy_config.h"
#include "policy/server_table.h"

namespace headrouter {

/// Draws `ServerState::subset_draw` of each server anew: by this balancer's place among the replicas, where
/// the configuration has a deterministic order and that place is known, else by independent draws. After each
/// change of the servers or of the configuration.
void draw_subset(const PolicyConfig&, ServerTable&);

}  // namespace headrouter
