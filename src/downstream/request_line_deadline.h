/// How long a client may take until its whole request line has come. No clock and no sockets: the times are
/// those of the steady clock, given by the caller.
#pragma once
#include "base/time.h"

namespace headrouter {

/// The clients' protocol: who sends only a part of a request is owed an error or the end of its connection
/// within this time, from its connect on.
constexpr Duration unfinished_request_owed_within = seconds(3);

/// What a client has done so far, as far as its time limit depends on it.
struct RequestLineProgress {
    TimePoint connected_at;
    TimePoint idle_since;         ///< when it connected or last sent a whole probe
    TimePoint line_started_at{};  ///< of `request_line_start`, for the line that has begun
    bool has_probed = false;
    bool has_partial_line = false;
};

/// When the time for a line began whose first byte came at `first_byte_at`: at the connect, or at that byte
/// where the client had kept its connection for seconds before, with probes. Later bytes never extend the
/// time.
[[nodiscard]] TimePoint request_line_start(TimePoint connected_at, TimePoint first_byte_at);

/// When the client is dismissed. Callers look several times a second and may be held up in between; both are
/// allowed for.
[[nodiscard]] TimePoint request_line_deadline(const RequestLineProgress&);

}  // namespace headrouter
