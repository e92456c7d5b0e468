/// \file
/// Describes the policy's view of its fleet as a readable table.
#pragma once
#include <string>

#include "policy/balancing_policy.h"

namespace headrouter::capture {

/// Returns a row for each server as placement of `request` at `now` would see the server: load, share, load
/// limit, failure penalty, slow start factor, connections, and the reasons against sending the request there.
/// The policy does not change.
[[nodiscard]] std::string describe_fleet(const BalancingPolicy& policy, TimePoint now,
                                         const RequestState& request);

}  // namespace headrouter::capture
