/// Helper functions for lines of text.
#pragma once
#include <string_view>

namespace headrouter {

/// Returns `line` without trailing CR and LF characters.
inline std::string_view trim_line_end(std::string_view line) {
    while (!line.empty() && (line.back() == '\n' || line.back() == '\r')) line.remove_suffix(1);
    return line;
}

}  // namespace headrouter
