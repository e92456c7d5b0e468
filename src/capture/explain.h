/// \file
/// Why a request was decided on as it was: the events that concern it, and what the policy knew of the fleet.
#pragma once
#include <string>
#include <vector>

#include "capture/replay.h"

namespace headrouter::capture {

/// What a capture tells of one request.
struct Explanation {
    ReplayResult result;
    std::string text;  ///< empty: the request is not in the capture
};

/// All events that touch the request, with what the policy knew each time it was placed. Throws
/// std::system_error where a file cannot be read.
[[nodiscard]] Explanation explain(const std::vector<std::string>& paths, RequestId request_id);

}  // namespace headrouter::capture
