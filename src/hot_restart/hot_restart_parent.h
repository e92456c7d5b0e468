/// \file
/// The running process's side of a hot restart.
#pragma once
#include <ev.h>

#include <functional>
#include <string>

#include "admin/log.h"
#include "hot_restart/hot_restart_channel.h"
#include "hot_restart/transfer_state.h"
#include "transport/socket.h"

namespace headrouter {

/// Waits for the next process and hands over to it. Used on the thread of the event loop. The handover
/// blocks, for at most half a second at each step, so that neither process serves clients during it.
class HotRestartParent {
   public:
    /// The balancer's functions that a hot restart calls.
    struct Callbacks {
        std::function<bool()> can_hand_over;  ///< whether the balancer has started and is not shutting down
        std::function<int()> listener;        ///< returns the descriptor on which clients are accepted
        std::function<hot_restart::TransferState()> pack_state;  ///< for a child of the same state version
        std::function<void(bool with_state)> release;  ///< the child has everything, or the listener alone
        std::function<void()> resume;                  ///< the child has exited: takes back what was released
    };

    HotRestartParent(struct ev_loop* loop, Callbacks callbacks, Log& log);
    /// Removes the socket's path unless a child has taken it over.
    ~HotRestartParent();
    HotRestartParent(const HotRestartParent&) = delete;
    HotRestartParent& operator=(const HotRestartParent&) = delete;

    /// Starts to wait for the next process at `path`. Throws std::system_error.
    void listen(const std::string& path);

    /// Reports to the child how many descriptors this process still holds. The report is dropped if the
    /// child's socket buffer is full; the next report makes up for it.
    void report_descriptors_held(int count);

    /// Returns whether this process has handed over to a child that still runs.
    [[nodiscard]] bool has_child() const { return handed_over_; }

   private:
    void on_child_connected();
    void on_child_readable();
    void hand_over(bool with_state);
    void send_state();
    void close_child();
    void stop_listening();

    struct ev_loop* loop_;
    Callbacks callbacks_;
    Log& log_;
    std::string path_;
    Fd listening_socket_;
    HotRestartChannel child_;  // the latest one; a new child replaces an earlier one
    ev_io child_connected_{};
    ev_io child_readable_{};
    bool handed_over_ = false;
};

}  // namespace headrouter
