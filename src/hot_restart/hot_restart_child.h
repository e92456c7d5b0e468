/// \file
/// The starting process's side of a hot restart.
#pragma once
#include <ev.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "admin/log.h"
#include "hot_restart/hot_restart_channel.h"
#include "transport/socket.h"

namespace headrouter {

/// Takes over from the running process. All calls up to and including confirm_takeover() block, for at
/// most half a second at each step, which is acceptable because the starting process serves no clients
/// yet. Used on the thread of the event loop.
class HotRestartChild {
   public:
    /// Connects to the running process and receives its listener and, if both processes have the same
    /// state version, its state and connections. Returns null if no process listens at `path` or the
    /// exchange fails; a failure is logged.
    [[nodiscard]] static std::unique_ptr<HotRestartChild> connect_to_parent(const std::string& path,
                                                                            Log& log);

    ~HotRestartChild();
    HotRestartChild(const HotRestartChild&) = delete;
    HotRestartChild& operator=(const HotRestartChild&) = delete;

    /// Returns whether state and connections were received; otherwise only the listener was.
    [[nodiscard]] bool has_state() const { return has_state_; }
    /// Returns the bytes for hot_restart::unpack().
    [[nodiscard]] const std::string& state() const { return state_; }
    [[nodiscard]] Fd take_listener() { return std::move(listener_); }
    /// Moves out the descriptors for hot_restart::unpack().
    [[nodiscard]] std::vector<Fd> take_connections() { return std::move(connections_); }

    /// Reports to the old process that everything is restored. Returns true once the old process has
    /// confirmed that it no longer uses what it sent; false if the confirmation fails.
    [[nodiscard]] bool confirm_takeover();

    /// Starts to call `on_descriptors_held` with the number of descriptors that the old process still holds,
    /// each time that process reports it, and with zero when that process exits.
    void watch_parent(struct ev_loop* loop, std::function<void(int)> on_descriptors_held);

   private:
    explicit HotRestartChild(HotRestartChannel channel) : channel_(std::move(channel)) {}
    void receive_all();
    void append_state(std::string_view bytes);
    void on_parent_readable();

    HotRestartChannel channel_;
    Fd listener_;
    bool has_state_ = false;
    std::string state_;
    std::vector<Fd> connections_;
    struct ev_loop* loop_ = nullptr;  // set by watch_parent()
    ev_io parent_readable_{};
    std::function<void(int)> on_descriptors_held_;
};

}  // namespace headrouter
