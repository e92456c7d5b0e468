/// @file
/// The two interfaces between the connections to servers (src/upstream) and the request router. The router
/// sees servers through `UpstreamInterface` only and is told what they do through `UpstreamEvents`, so
/// another server protocol is another implementation of the former. All calls are made on the thread of the
/// event loop.
#pragma once
#include <cstddef>
#include <string>
#include <string_view>

#include "policy/balancing_policy.h"
#include "transport/line_connection.h"
#include "transport/socket.h"

namespace headrouter {

/// How an attempt ended, as its connection showed it.
struct AttemptResult {
    AttemptOutcome outcome;
    CloseReason close_reason = CloseReason::fin;
    bool server_silent = false;  ///< given up because the server sent nothing for too long
    std::string_view reply =
        {};  ///< the server's line that ended the attempt before it was established, or empty
};

/// What the request router may do with the attempts of its requests; a request has one attempt at a time.
/// Unless said otherwise, a call for an attempt that has ended does nothing.
class UpstreamInterface {
   public:
    virtual ~UpstreamInterface() = default;

    /// Connects to `address` within `connect_timeout` and sends `first_line`; the server's answer to it is
    /// due within `timeout`, counted from this call.
    virtual void start_attempt(RequestId, const Address& address, std::string first_line,
                               Duration connect_timeout, Duration timeout) = 0;

    /// Sends `bytes` to the server. Counted as a late event where no attempt is established.
    virtual void forward(RequestId, std::string_view bytes) = 0;

    /// Ends the connection with FIN, after all that was sent, or with RST. A first line that has not gone out
    /// whole is never completed: its connection is reset.
    virtual void close(RequestId, CloseReason) = 0;

    /// Stops reading from the server, or goes on with it; what comes in meanwhile waits in the kernel.
    virtual void pause_reading(RequestId, bool paused) = 0;

    /// Bytes given to `forward` that the kernel has not taken yet.
    virtual size_t unsent_bytes(RequestId) const = 0;
};

/// What the servers do. Each event names the request whose attempt it concerns.
class UpstreamEvents {
   public:
    virtual ~UpstreamEvents() = default;

    /// The connection is up: whether the first line may still be sent. Asked right before its first byte goes
    /// out.
    virtual bool may_send(RequestId) = 0;

    /// The last byte of the first line has gone out: from now on the request may have run.
    virtual void on_attempt_written(RequestId) = 0;

    /// The server has accepted the request with `line`.
    virtual void on_attempt_established(RequestId, std::string_view line) = 0;

    /// Bytes of an established attempt; `complete` unless they stop in the middle of a line.
    virtual void on_server_bytes(RequestId, std::string_view bytes, bool complete) = 0;

    /// The server reports its load: microseconds of work a second.
    virtual void on_load_report(RequestId, double load_us_per_s) = 0;

    /// The server reports the mean latency of its messages, in milliseconds.
    virtual void on_latency_report(RequestId, double latency_ms) = 0;

    /// The attempt has ended and its connection is gone.
    virtual void on_attempt_ended(RequestId, const AttemptResult&) = 0;

    /// The kernel has taken some of the unsent bytes.
    virtual void on_server_writable(RequestId) = 0;
};

}  // namespace headrouter
