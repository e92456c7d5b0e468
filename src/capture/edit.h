/// \file
/// Creates captures from existing ones: cuts out a period, or replaces the names.
#pragma once
#include <string>
#include <vector>

#include "capture/replay.h"

namespace headrouter::capture {

// Both functions write one segment to the file `out`, and throw std::system_error if a file cannot be read or
// written.

/// Writes the events from `from` to `to`, both measured from the first event. The new capture begins with the
/// policy's state before the first of these events. Throws ParseError if no event is in this period.
ReplayResult cut(const std::vector<std::string>& paths, Duration from, Duration to, const std::string& out);

/// Replaces affinity keys and groups by a keyed hash whose key is random and not stored. The preferred
/// servers of a group depend on its name and therefore change: the actions are recorded again with the new
/// names, so that the new capture replays without a difference.
ReplayResult anonymize(const std::vector<std::string>& paths, const std::string& out);

}  // namespace headrouter::capture
