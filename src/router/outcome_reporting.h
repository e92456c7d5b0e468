/// Maps the outcome of an attempt to its counter and its name in the log.
#pragma once
#include <string_view>

#include "admin/counters.h"
#include "policy/types.h"

namespace headrouter {

/// Returns the counter of an attempt that ended before it was established and did not complete its request.
Counter counter_of(AttemptOutcome);

/// Returns the outcome's name in the log.
std::string_view name_of(AttemptOutcome);

}  // namespace headrouter
