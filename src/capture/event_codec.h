/// \file
/// Encodes recorded events as bytes, the frames of a capture, and decodes them. docs/capture-format.md
/// describes them.
#pragma once
#include <string>
#include <string_view>

#include "capture/recorded_event.h"

namespace headrouter::capture {

/// Appends the event, with its actions, to `bytes`.
void encode(const RecordedEvent& event, std::string& bytes);

/// Returns the event that encode() wrote. Throws ParseError if the bytes are truncated or corrupt.
[[nodiscard]] RecordedEvent decode(std::string_view bytes);

}  // namespace headrouter::capture
