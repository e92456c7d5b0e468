/// How the end of an attempt is counted and logged.
#pragma once
#include <string_view>

#include "admin/counters.h"
#include "policy/types.h"

namespace headrouter {

/// The counter of an attempt that ended before it was established, other than by completing its request.
Counter counter_of(AttemptOutcome);

/// The outcome as the log prints it.
std::string_view name_of(AttemptOutcome);

}  // namespace headrouter
