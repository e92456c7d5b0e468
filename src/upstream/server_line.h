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

/// The answer of a server to a request line.
struct ServerResponse {
    bool is_established = false;                     ///< the server has accepted the request
    AttemptOutcome outcome = AttemptOutcome::error;  ///< of the attempt; valid unless it is established
    bool is_valid = false;                           ///< whether the protocol has this answer
};

/// Reads the first line of a server that is not a report. `is_whole_line` is false if the bytes do not end in
/// a line end. An answer that breaks off or is longer than max_line_length is an error whatever its first
/// word: the server may have meant any line that begins so, and the request may have been executed.
ServerResponse read_response(std::string_view bytes, bool is_whole_line);

/// Returns the value of a report, or nothing unless `text` is a finite number of at least 0.
std::optional<double> parse_report_value(std::string_view text);

}  // namespace headrouter
