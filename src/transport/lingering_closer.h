/// @file
/// Keeps connections that were told to finish until they have: their last bytes are sent and the peer has
/// ended too.
#pragma once
#include <ev.h>

#include <cstddef>
#include <list>
#include <memory>

#include "base/time.h"
#include "transport/event_watcher.h"
#include "transport/line_connection.h"

namespace headrouter {

/// Owns connections that nobody else looks after any more, for a bounded time each. As it destroys them only
/// before the loop waits, a connection may be added in the middle of one of its own events. Used on the
/// loop's thread; it does not keep the loop running.
class LingeringCloser {
   public:
    explicit LingeringCloser(struct ev_loop*);

    /// Closes what is left at once: the process may end with this.
    ~LingeringCloser();
    LingeringCloser(const LingeringCloser&) = delete;
    LingeringCloser& operator=(const LingeringCloser&) = delete;

    /// While there are more than `max_connections`, the oldest get only a short time; 0 is no limit.
    void set_limit(size_t max_connections) { max_connections_ = max_connections; }

    /// Takes over a connection; a null pointer is ignored.
    void add(std::unique_ptr<LineConnection>);

    /// Closes the oldest connection, to free its descriptor; false where there is none.
    bool evict_oldest();

    size_t size() const { return connections_.size(); }

   private:
    struct LingeringConnection {
        std::unique_ptr<LineConnection> connection;
        TimePoint since;
    };
    void close_expired();

    std::list<LingeringConnection> connections_;  // the oldest first
    size_t max_connections_ = 0;
    TimerWatcher timer_;
    PrepareWatcher before_wait_;
};

}  // namespace headrouter
