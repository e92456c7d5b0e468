/// @file
/// The two interfaces between the connections of clients (src/downstream) and the request router. The router
/// sees clients through `DownstreamInterface` only and is told what they do through `DownstreamEvents`, so
/// another client protocol is another implementation of the former. All calls are made on the thread of the
/// event loop.
#pragma once
#include <cstddef>
#include <string_view>

#include "policy/balancing_policy.h"
#include "transport/line_connection.h"

namespace headrouter {

/// What the request router may do with the connection of a client. Unless said otherwise, a call for a client
/// that has gone does nothing.
class DownstreamInterface {
   public:
    virtual ~DownstreamInterface() = default;

    /// Sends `bytes` to the client. Counted as a late event where the client has gone.
    virtual void forward(RequestId, std::string_view bytes) = 0;

    /// Reports the client's further lines by `on_client_bytes` from now on: its request is established.
    virtual void start(RequestId) = 0;

    /// Sends `line`, the last one of the connection, and closes it after that.
    virtual void reply(RequestId, std::string_view line) = 0;

    /// Ends the connection with FIN, after all that was sent, or with RST.
    virtual void close(RequestId, CloseReason) = 0;

    /// Stops reading from the client, or goes on with it; what comes in meanwhile waits in the kernel.
    virtual void pause_reading(RequestId, bool paused) = 0;

    /// Bytes given to `forward` that the kernel has not taken yet.
    virtual size_t unsent_bytes(RequestId) const = 0;

    /// Reads what the client has sent until now without waiting for the event loop. What follows from it, the
    /// end of the connection included, is reported before this returns.
    virtual void poll_now(RequestId) = 0;
};

/// What the clients do. Each event names the request; one id stands for one connection.
class DownstreamEvents {
   public:
    virtual ~DownstreamEvents() = default;

    /// The first line of a connection that is no probe, with its line end; it may be malformed.
    virtual void on_request_line(RequestId, std::string_view line) = 0;

    /// Bytes of an established request, at most a line at a time.
    virtual void on_client_bytes(RequestId, std::string_view bytes) = 0;

    /// The client has closed its connection, or with `CloseReason::fin` perhaps only its sending side.
    virtual void on_client_closed(RequestId, CloseReason) = 0;

    /// The client sent more before it had its answer, which the protocol forbids.
    virtual void on_early_client_data(RequestId) = 0;

    /// The kernel has taken some of the unsent bytes.
    virtual void on_client_writable(RequestId) = 0;
};

}  // namespace headrouter
