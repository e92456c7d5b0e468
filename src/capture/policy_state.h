/// \file
/// The whole state of a policy as bytes, and recorded events delivered to a policy.
#pragma once
#include <string>
#include <string_view>

#include "capture/recorded_event.h"

namespace headrouter::capture {

/// The whole state of `policy`: a policy to which it is restored decides alike from then on.
[[nodiscard]] std::string state_of(const BalancingPolicy& policy);

/// Restores what state_of() made. Throws ParseError, with `policy` unchanged, where the bytes are cut off or
/// garbled.
void restore(BalancingPolicy& policy, std::string_view bytes);

/// Delivers the event to `policy`. Throws ParseError, with `policy` unchanged, where the event cannot be this
/// policy's: it names an unknown server or request class, or its configuration has fewer request classes.
void deliver(const RecordedEvent& event, BalancingPolicy& policy);

}  // namespace headrouter::capture
