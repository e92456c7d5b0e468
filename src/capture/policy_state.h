/// \file
/// Saves and restores the whole state of a policy, and delivers recorded events to a policy.
#pragma once
#include <string>
#include <string_view>

#include "capture/recorded_event.h"

namespace headrouter::capture {

/// Returns the whole state of `policy` as bytes. A policy restored from them makes the same decisions on the
/// same events.
[[nodiscard]] std::string state_of(const BalancingPolicy& policy);

/// Restores a state that state_of() returned. Throws ParseError, with `policy` unchanged, if the bytes are
/// truncated or corrupt.
void restore(BalancingPolicy& policy, std::string_view bytes);

/// Delivers the event to `policy`. Throws ParseError, with `policy` unchanged, if the event is not valid for
/// this policy: a latency report for an unknown server, a request of an unknown class, or a configuration
/// with fewer request classes than the policy has.
void deliver(const RecordedEvent& event, BalancingPolicy& policy);

}  // namespace headrouter::capture
