/// @file
/// Keeps connections on which `finish` was called until their last bytes are sent and the peer has closed its
/// side too.
#pragma once
#include <ev.h>

#include <cstddef>
#include <list>
#include <memory>

#include "base/time.h"
#include "transport/event_watcher.h"
#include "transport/line_connection.h"

namespace headrouter {

/// Owns connections that have no other owner any more, each for a limited time. Connections are destroyed
/// only by a timer or before the event loop waits, so a connection may be added inside one of its own events.
/// Must be used on the loop's thread. Does not keep the loop running.
class LingeringCloser {
   public:
    explicit LingeringCloser(struct ev_loop*);

    /// Closes the remaining connections at once, because the process may be about to exit.
    ~LingeringCloser();
    LingeringCloser(const LingeringCloser&) = delete;
    LingeringCloser& operator=(const LingeringCloser&) = delete;

    /// Sets a soft limit: while there are more than `max_connections`, the oldest connections are closed
    /// after a shorter time. 0 means no limit.
    void set_limit(size_t max_connections) { max_connections_ = max_connections; }

    /// Takes ownership of a connection. A null pointer is ignored.
    void add(std::unique_ptr<LineConnection>);

    /// Closes the oldest connection to free its descriptor, preferably one without unsent bytes. Returns
    /// false if no connection is open.
    bool evict_oldest();

    size_t size() const { return connections_.size(); }

   private:
    struct LingeringConnection {
        std::unique_ptr<LineConnection> connection;
        TimePoint since;
    };
    void close_expired();

    std::list<LingeringConnection> connections_;  // oldest first
    size_t max_connections_ = 0;
    TimerWatcher timer_;
    PrepareWatcher before_wait_;
};

}  // namespace headrouter
