/// Counts the events, actions and placements in captures.
#pragma once
#include <string>
#include <vector>

namespace headrouter {

/// Prints the counts of events, actions and placements by server over all segments to standard output.
/// Returns whether every segment could be read to its end; any that could not is printed with the offset and
/// the reason.
[[nodiscard]] bool print_capture_statistics(const std::vector<std::string>& segment_paths);

}  // namespace headrouter
