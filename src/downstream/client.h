/// Defines the state that the balancer keeps for one client connection.
#pragma once
#include <list>
#include <memory>

#include "base/time.h"
#include "transport/line_connection.h"

namespace headrouter {

/// The progress of a connection, which carries one request. A hot restart transfers the numeric values, so
/// new ones are added at the end.
enum class ClientStage {
    awaiting_request,  ///< the client has sent nothing or only probes
    awaiting_reply,    ///< the request line has arrived; the client must not send more before the reply
    established        ///< lines are forwarded in both directions
};

/// A client connection and its progress towards a request.
struct Client {
    std::unique_ptr<LineConnection> connection;
    ClientStage stage = ClientStage::awaiting_request;
    TimePoint connected_at;
    TimePoint idle_since;       ///< when the client connected or last sent a probe
    TimePoint line_started_at;  ///< start of the time limit for the request line
    bool has_probed = false;    ///< whether the client has sent PING

    /// Position in `IdleClients`; valid in the stage `awaiting_request`.
    std::list<Client*>::iterator idle_position;
};

}  // namespace headrouter
