/// What is kept for the connection of a client.
#pragma once
#include <list>
#include <memory>

#include "base/time.h"
#include "transport/line_connection.h"

namespace headrouter {

/// A connection carries one request. The hot restart hands these values on: a new one goes to the end.
enum class ClientStage {
    awaiting_request,  ///< nothing or probes until now
    awaiting_reply,    ///< the request line has come, and the client must be silent until its reply
    established        ///< lines go both ways
};

struct Client {
    std::unique_ptr<LineConnection> connection;
    ClientStage stage = ClientStage::awaiting_request;
    TimePoint connected_at;
    TimePoint idle_since;       ///< when it connected or last sent a probe
    TimePoint line_started_at;  ///< from when the time for its request line counts
    bool has_probed = false;    ///< it sent PING

    /// Where it is in `IdleClients`, while it awaits its request.
    std::list<Client*>::iterator idle_position;
};

}  // namespace headrouter
