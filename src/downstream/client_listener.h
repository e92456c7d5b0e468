/// Accepts connections on the socket to which clients connect.
#pragma once
#include <ev.h>

#include <functional>

#include "admin/counters.h"
#include "transport/event_watcher.h"
#include "transport/socket.h"

namespace headrouter {

/// Accepts connections and passes them to a handler. Must be used on the thread of its event loop.
class ClientListener {
   public:
    using Handler = std::function<void(FileDescriptor)>;

    /// `on_accepted` receives each connection. `on_exhausted` receives a connection that could be accepted
    /// only by giving up the spare descriptor, because the process has no other descriptor left.
    ClientListener(struct ev_loop*, Counters&, Handler on_accepted, Handler on_exhausted);

    /// Starts to accept on `socket`, which must be listening already.
    void open(FileDescriptor socket);

    /// Stops or resumes accepting. While paused, connections wait in the kernel or are accepted by another
    /// process that shares the socket.
    void pause(bool paused);

    /// Accepts the waiting connections, up to the length of the queue, and passes them to `handler`. Returns
    /// false if there were none. Returns true also if accepting failed, or was cut off because clients keep
    /// coming, and connections may still be waiting: the caller has to try again.
    bool accept_backlog(const Handler& handler);

    int descriptor() const { return socket_.get(); }

   private:
    void accept_batch();
    FileDescriptor accept_one();
    bool accept_by_spare_descriptor();
    void retry_later();
    void update_watcher();

    Counters& counters_;
    Handler on_accepted_;
    Handler on_exhausted_;
    FileDescriptor socket_;
    FileDescriptor spare_;  // closed briefly to accept a connection when no other descriptor is left
    IoWatcher watcher_;
    TimerWatcher retry_timer_;
    bool is_paused_ = false;
};

}  // namespace headrouter
