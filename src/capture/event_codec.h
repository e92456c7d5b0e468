/// \file
/// Recorded events as bytes: the frames of a capture. docs/capture-format.md describes them.
#pragma once
#include <string>
#include <string_view>

#include "capture/recorded_event.h"

namespace headrouter::capture {

/// Appends the event, with its actions, to `bytes`.
void encode(const RecordedEvent& event, std::string& bytes);

/// The event that encode() wrote. Throws ParseError where the bytes are cut off or garbled.
[[nodiscard]] RecordedEvent decode(std::string_view bytes);

}  // namespace headrouter::capture
