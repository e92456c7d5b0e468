/// @file
/// Defines the two interfaces between the connections to servers (src/upstream) and the request router. The
/// router controls attempts through `UpstreamInterface` only and receives their events through
/// `UpstreamEvents`, so another server protocol needs only another implementation of `UpstreamInterface`. All
/// calls are made on the thread of the event loop.
#pragma once
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "policy/balancing_policy.h"
#include "transport/line_connection.h"
#include "transport/socket.h"

namespace headrouter {

/// How an attempt ended, as observed on its connection.
struct AttemptResult {
    AttemptOutcome outcome;
    CloseReason close_reason = CloseReason::fin;
    bool server_silent = false;  ///< whether it was ended because the server sent nothing for too long

    /// The line of the server that ended the attempt before it was established, or empty.
    std::string_view reply = {};
};

/// The time limits of an attempt, counted from its start.
struct AttemptTimeouts {
    Duration connect;   ///< for the connection to come up; zero for no limit of its own
    Duration response;  ///< for the server's answer

    /// For the first line to be sent. An attempt that is unsent by then ends as `not_sent`: it ran out of
    /// time, and its server is not at fault.
    std::optional<Duration> send = std::nullopt;
};

/// Controls the attempts of requests on behalf of the request router. A request has at most one attempt at a
/// time. Unless stated otherwise, a call for an attempt that has ended does nothing.
class UpstreamInterface {
   public:
    virtual ~UpstreamInterface() = default;

    /// Connects to `address` and sends `first_line`.
    virtual void start_attempt(RequestId, const Address& address, std::string first_line,
                               const AttemptTimeouts& timeouts) = 0;

    /// Sends `bytes` to the server. Counts a late event if the request has no established attempt.
    virtual void forward(RequestId, std::string_view bytes) = 0;

    /// Closes the connection with FIN, after all unsent bytes, or with RST. If the first line has been sent
    /// only in part or not at all, the connection is always reset, so that the line is never completed.
    virtual void close(RequestId, CloseReason) = 0;

    /// Stops or resumes reading from the server. While paused, incoming bytes stay in the kernel.
    virtual void pause_reading(RequestId, bool paused) = 0;

    /// Returns the number of bytes passed to `forward` that the kernel has not accepted yet.
    virtual size_t unsent_bytes(RequestId) const = 0;
};

/// Receives the events of attempts. Each event names the request to which the attempt belongs.
class UpstreamEvents {
   public:
    virtual ~UpstreamEvents() = default;

    /// Returns whether the first line may still be sent. Called when the connection is set up, right before
    /// the first byte is sent.
    virtual bool may_send(RequestId) = 0;

    /// Reports that the last byte of the first line has been sent: from now on the request may have been
    /// executed.
    virtual void on_attempt_written(RequestId) = 0;

    /// Reports that the server has accepted the request with `line`.
    virtual void on_attempt_established(RequestId, std::string_view line) = 0;

    /// Receives bytes of an established attempt. `complete` is false if they end in the middle of a line.
    virtual void on_server_bytes(RequestId, std::string_view bytes, bool complete) = 0;

    /// Receives the load reported by the server for this connection, in microseconds of work per second.
    virtual void on_load_report(RequestId, double load_us_per_s) = 0;

    /// Receives the mean latency of its messages that the server reports, in milliseconds.
    virtual void on_latency_report(RequestId, double latency_ms) = 0;

    /// Reports that the attempt has ended and its connection is closed or lingering.
    virtual void on_attempt_ended(RequestId, const AttemptResult&) = 0;

    /// Reports that the kernel has accepted some of the unsent bytes.
    virtual void on_server_writable(RequestId) = 0;
};

}  // namespace headrouter
