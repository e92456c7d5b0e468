/// \file
/// Explains the decisions on a request: lists the events that concern the request, and the policy's view of
/// the fleet at each decision.
#pragma once
#include <string>
#include <vector>

#include "capture/replay.h"

namespace headrouter::capture {

/// Holds the events and decisions that a capture has of one request.
struct Explanation {
    ReplayResult result;
    std::string text;  ///< empty if the request is not in the capture
};

/// Returns all events that concern the request, with the policy's view of the fleet before each decision on
/// where the request goes. Throws std::system_error if a file cannot be read.
[[nodiscard]] Explanation explain(const std::vector<std::string>& paths, RequestId request_id);

}  // namespace headrouter::capture
