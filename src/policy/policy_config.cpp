#include "policy/policy_config.h"

#include <algorithm>

namespace headrouter {

namespace {

// Stands for no message objective: longer than any message takes.
constexpr Duration no_objective = seconds(1000);

}  // namespace

slow_start::SlowStartConfig PolicyConfig::slow_start_config() const {
    return {overload_multiple, overload_window, slow_start_time, replica_index, replica_count};
}

Duration PolicyConfig::shortest_message_objective() const {
    Duration shortest = no_objective;
    for (const RequestClass& request_class : request_classes)
        if (request_class.message_objective.ns > 0)
            shortest = std::min(shortest, request_class.message_objective);
    return shortest;
}

}  // namespace headrouter
