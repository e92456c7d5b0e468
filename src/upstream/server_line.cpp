#include "upstream/server_line.h"

#include <algorithm>
#include <charconv>
#include <cmath>

#include "transport/line_connection.h"
#include "transport/line_text.h"

namespace headrouter {

ServerLine split_server_line(std::string_view line) {
    const std::string_view text = trim_line_end(line);
    const size_t space = std::min(text.find(' '), text.size());
    return {text.substr(0, space), text.substr(std::min(space + 1, text.size()))};
}

ServerWord server_word(std::string_view word) {
    if (word == "UP") return ServerWord::up;
    if (word == "BUSY") return ServerWord::busy;
    if (word == "BYE") return ServerWord::bye;
    if (word == "MOVE") return ServerWord::move;
    if (word == "ERR") return ServerWord::error;
    if (word == "LOAD") return ServerWord::load;
    return ServerWord::unknown;
}

ServerResponse read_response(std::string_view bytes, bool is_whole_line) {
    if (!is_whole_line || bytes.size() > max_line_length) return {};
    switch (server_word(split_server_line(bytes).word)) {
        case ServerWord::up: return {.is_established = true, .is_valid = true};
        case ServerWord::busy: return {.outcome = AttemptOutcome::at_capacity, .is_valid = true};
        case ServerWord::bye: return {.outcome = AttemptOutcome::completed, .is_valid = true};
        case ServerWord::move: return {.outcome = AttemptOutcome::cancelled, .is_valid = true};
        case ServerWord::error: return {.outcome = AttemptOutcome::error, .is_valid = true};
        case ServerWord::load:
        case ServerWord::unknown: break;
    }
    return {};
}

std::optional<double> parse_report_value(std::string_view text) {
    double value = 0;
    const char* const last = text.data() + text.size();
    const auto [end, error] = std::from_chars(text.data(), last, value);
    const bool is_number = error == std::errc() && end == last;
    if (!is_number || !(value >= 0) || !std::isfinite(value)) return std::nullopt;
    return value;
}

}  // namespace headrouter
