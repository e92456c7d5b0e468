/// The time within which every balancer has to know a change of the endpoint list.
#pragma once
#include "base/time.h"

namespace headrouter {

/// Time after which a change counts as known to every balancer, from the moment on at which discovery had it
/// and could be reached, by the operators' acceptance terms.
inline constexpr Duration propagation_allowance = seconds(6);

}  // namespace headrouter
