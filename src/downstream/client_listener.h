/// The socket on which clients connect.
#pragma once
#include <ev.h>

#include <functional>

#include "admin/counters.h"
#include "transport/event_watcher.h"
#include "transport/socket.h"

namespace headrouter {

/// Accepts connections and hands them on. Used on the thread of its loop.
class ClientListener {
   public:
    using Handler = std::function<void(FileDescriptor)>;

    /// `on_accepted` gets each connection; `on_exhausted` gets one that could be accepted only by means of
    /// the spare descriptor, after which there is no other one.
    ClientListener(struct ev_loop*, Counters&, Handler on_accepted, Handler on_exhausted);

    /// Accepts on a socket that listens already.
    void open(FileDescriptor socket);

    /// While paused, connections wait in the kernel, or for another process that has the socket as well.
    void pause(bool paused);

    /// Accepts all that wait and gives them to `handler`; false where nobody did. True too where some may
    /// wait still, since accepting failed: it is to be tried again.
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
    FileDescriptor spare_;  // given up for a moment where no other descriptor is left
    IoWatcher watcher_;
    TimerWatcher retry_timer_;
    bool is_paused_ = false;
};

}  // namespace headrouter
