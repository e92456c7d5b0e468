/// Classifies the errors of socket calls according to the manual pages of accept(2), connect(2), recv(2) and
/// send(2), in one place for all callers.
#pragma once

namespace headrouter {

/// Kinds of failures of accept4().
enum class AcceptError {
    queue_empty,        ///< no connection is waiting
    connection_failed,  ///< one connection has failed; others may be waiting behind it
    no_descriptor,      ///< this process or the machine has no descriptor left
    shortage            ///< another resource of the machine is temporarily short
};

/// Classifies `error`, the errno of a failed accept4(). Linux also reports network errors of the new
/// connection in this way.
[[nodiscard]] AcceptError classify_accept_error(int error);

/// Returns whether socket() or connect() failed because this machine lacks a resource or a route. Such an
/// error is no evidence against the peer, and connecting to another peer would fail too.
[[nodiscard]] bool is_local_connect_error(int error);

/// Returns whether the connection is still being established although connect() returned an error.
[[nodiscard]] bool is_connect_in_progress(int error);

/// Returns whether recv() failed only temporarily: the connection is still open and a later call may succeed.
[[nodiscard]] bool is_transient_receive_error(int error);
/// Returns the same for send().
[[nodiscard]] bool is_transient_send_error(int error);

}  // namespace headrouter
