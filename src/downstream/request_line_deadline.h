/// Computes the deadline by which a client must have sent its whole request line. Uses neither a clock nor
/// sockets: the caller passes the times of the steady clock.
#pragma once
#include "base/time.h"

namespace headrouter {

/// The client protocol's limit, counted from the connect: a client that sends only a part of a request line
/// must get an error or have its connection closed within this time.
constexpr Duration unfinished_request_answer_limit = seconds(3);

/// The progress of a client, on which its deadline depends.
struct RequestLineProgress {
    TimePoint connected_at;
    TimePoint idle_since;         ///< when the client connected or last sent a whole probe
    TimePoint line_started_at{};  ///< result of `request_line_start` for the unfinished line
    bool has_probed = false;
    bool has_partial_line = false;
};

/// Returns from when the time limit counts for a line whose first byte arrived at `first_byte_at`: from the
/// connect, or from that byte if the client had kept its connection open for seconds before, with probes.
/// Later bytes never extend the limit.
[[nodiscard]] TimePoint request_line_start(TimePoint connected_at, TimePoint first_byte_at);

/// Returns when the client is to be dismissed. The deadline leaves time for callers that check only several
/// times a second and whose event loop may stall in between.
[[nodiscard]] TimePoint request_line_deadline(const RequestLineProgress&);

}  // namespace headrouter
