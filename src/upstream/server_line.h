/// Parses the lines that servers send. Does no I/O.
#pragma once
#include <optional>
#include <string_view>

#include "policy/balancing_policy.h"

namespace headrouter {

/// The first word of a line and the text after the following space, without the line end. Both are views into
/// the line.
struct ServerLine {
    std::string_view word;
    std::string_view rest;
};

/// Splits a line at its first space; `rest` is empty if there is none.
ServerLine split_server_line(std::string_view line);

/// The words with which a server line can begin.
enum class ServerWord { up, busy, bye, move, error, load, unknown };

/// Returns the word spelt `word`, or `unknown`; case matters.
ServerWord server_word(std::string_view word);

/// Returns the outcome of an attempt that is answered by a line other than UP.
AttemptOutcome outcome_of_response(ServerWord word);

/// Returns the value of a report, or nothing unless `text` is a finite number of at least 0.
std::optional<double> parse_report_value(std::string_view text);

}  // namespace headrouter
