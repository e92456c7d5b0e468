/// \file
/// What the policy knows of its fleet, as a table for people.
#pragma once
#include <string>

#include "policy/balancing_policy.h"

namespace headrouter::capture {

/// A row for each server as `request` would find it at `now`: load, share, load limit, failure penalty, slow
/// start factor, connections, and why the request may not go there. The policy is not changed.
[[nodiscard]] std::string describe_fleet(const BalancingPolicy& policy, TimePoint now,
                                         const RequestState& request);

}  // namespace headrouter::capture
