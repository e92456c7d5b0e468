/// @file
/// Defines the two interfaces between client connections (src/downstream) and the request router. The router
/// controls clients through `DownstreamInterface` only and receives their events through `DownstreamEvents`,
/// so another client protocol needs only another implementation of `DownstreamInterface`. All calls are made
/// on the thread of the event loop.
#pragma once
#include <cstddef>
#include <string_view>

#include "policy/balancing_policy.h"
#include "transport/line_connection.h"

namespace headrouter {

/// Controls client connections on behalf of the request router. Unless stated otherwise, a call for a client
/// whose connection is closed does nothing.
class DownstreamInterface {
   public:
    virtual ~DownstreamInterface() = default;

    /// Sends `bytes` to the client. Counts a late event if the connection is closed.
    virtual void forward(RequestId, std::string_view bytes) = 0;

    /// Marks the request as established: further lines of the client are reported by `on_client_bytes`.
    /// Counts a late event if the connection is closed.
    virtual void start(RequestId) = 0;

    /// Sends `line` as the last line of the connection and then closes the connection. Counts a late event if
    /// the connection is closed already.
    virtual void reply(RequestId, std::string_view line) = 0;

    /// Closes the connection with FIN, after all unsent bytes, or with RST.
    virtual void close(RequestId, CloseReason) = 0;

    /// Stops or resumes reading from the client. While paused, incoming bytes stay in the kernel.
    virtual void pause_reading(RequestId, bool paused) = 0;

    /// Returns the number of bytes passed to `forward` that the kernel has not accepted yet.
    virtual size_t unsent_bytes(RequestId) const = 0;

    /// Reads what the client has sent so far without waiting for the event loop. The resulting events,
    /// including the close of the connection, are reported before this function returns.
    virtual void poll_now(RequestId) = 0;

    /// Returns whether the client has reset its connection and no bytes that it sent before are unread.
    virtual bool is_reset(RequestId) const = 0;
};

/// Receives the events of client connections. Each event names the request; an id identifies one connection.
class DownstreamEvents {
   public:
    virtual ~DownstreamEvents() = default;

    /// Receives the first line of a connection that is not a probe, with its line end. The line may be
    /// malformed.
    virtual void on_request_line(RequestId, std::string_view line) = 0;

    /// Receives bytes of an established request, at most one line per call.
    virtual void on_client_bytes(RequestId, std::string_view bytes) = 0;

    /// Reports that the client has closed its connection, or with `CloseReason::fin` possibly only its
    /// sending side.
    virtual void on_client_closed(RequestId, CloseReason) = 0;

    /// Reports that the client sent more bytes before the reply to its request line, which the protocol
    /// forbids.
    virtual void on_early_client_data(RequestId) = 0;

    /// Reports that the kernel has accepted some of the unsent bytes.
    virtual void on_client_writable(RequestId) = 0;
};

}  // namespace headrouter
