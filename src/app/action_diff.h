/// Compares the actions of two builds that replayed the same capture.
#pragma once
#include <string>

namespace headrouter {

/// Prints the counts of placements, rejects, failures and migrations that differ, by second and by server, to
/// standard output. Both paths name files written by `headrouter_replay run --actions`. Returns whether any
/// count or placement differs. Throws ParseError if a file cannot be read.
[[nodiscard]] bool print_action_diff(const std::string& first_path, const std::string& second_path);

}  // namespace headrouter
