/// Keeps requests for the endpoint list open whose response is late. A silent connection and a slow service
/// look alike: the watch client sends a new request soon, in case the connection is silent, and keeps the old
/// one here, in case the service is slow. Whichever is answered first brings the list.
#pragma once
#include <memory>
#include <vector>

#include "base/time.h"
#include "discovery/poll_connection.h"

namespace headrouter {

/// Holds a few connections with late requests, sent at intervals, and closes those that are too old.
class LatePolls {
   public:
    /// Keeps `connection` until its response or the end of its time. Closes it at once if the latest kept
    /// request was sent shortly before it, as its response would bring the same list. Must not be called
    /// inside an event of a connection.
    void add(std::unique_ptr<PollConnection> connection, TimePoint now);

    /// Closes all connections without destroying them, so this may be called inside one of their events.
    void close_all();

   private:
    void remove_expired(TimePoint now);

    std::vector<std::unique_ptr<PollConnection>> connections_;  // in the order in which they were sent
};

}  // namespace headrouter
