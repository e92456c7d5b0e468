/// \file
/// Why a decision fell as it did: what the policy knew of the fleet when it decided, in words.
#pragma once
#include <string>
#include <vector>

#include "capture/replay.h"

namespace headrouter::capture {

/// A table, a row for each server as `request` would find it at `now`: load, share, load limit, whether it
/// may take the request, and why not.
[[nodiscard]] std::string describe_fleet(BalancingPolicy& policy, TimePoint now, const RequestState& request);

/// What a capture tells of one request.
struct Explanation {
    ReplayResult result;
    std::string text;  ///< empty: the request is not in the capture
};

/// All events that touch the request, with what the policy knew each time it was placed. Throws
/// std::system_error where a file cannot be read.
[[nodiscard]] Explanation explain(const std::vector<std::string>& paths, RequestId request_id);

}  // namespace headrouter::capture
