/// What the errors of calls on sockets mean, by the manual pages of accept(2), connect(2), recv(2) and
/// send(2): one table for all who make such calls.
#pragma once

namespace headrouter {

enum class AcceptError {
    queue_empty,        ///< nobody waits
    connection_failed,  ///< that connection has failed, others may wait behind it
    no_descriptor,      ///< this process or the machine has none left
    shortage            ///< the machine lacks something else for the moment
};

/// `error` is errno after accept4() failed. Linux reports errors of the new connection's network in this way
/// too.
[[nodiscard]] AcceptError classify_accept_error(int error);

/// Whether socket() or connect() failed for what this machine lacks, a route included: that says nothing
/// about the peer, and trying another one is no better.
[[nodiscard]] bool is_local_connect_error(int error);

/// Whether the connect goes on although connect() has failed.
[[nodiscard]] bool is_connect_in_progress(int error);

/// Whether the same call may succeed later, on a connection that still stands.
[[nodiscard]] bool is_transient_receive_error(int error);
[[nodiscard]] bool is_transient_send_error(int error);

}  // namespace headrouter
