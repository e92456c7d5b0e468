/// \file
/// Describes recorded events and actions as text, for the output of headrouter_replay.
#pragma once
#include <string>

#include "capture/recorded_event.h"

namespace headrouter::capture {

[[nodiscard]] const char* name_of(EventKind kind);

/// Returns one line: the event and its fields, without its actions.
[[nodiscard]] std::string describe(const RecordedEvent& event);

/// Returns one line: the action and its fields.
[[nodiscard]] std::string describe(const RecordedAction& action);

}  // namespace headrouter::capture
