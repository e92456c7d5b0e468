/// A whole balancer on one event loop: what an embedding program makes, starts and shuts down.
#pragma once
#include <ev.h>

#include <optional>
#include <string>

#include "admin/admin_commands.h"
#include "admin/admin_server.h"
#include "admin/counters.h"
#include "admin/log.h"
#include "capture/recorder.h"
#include "downstream/downstream.h"
#include "proxy/bootstrap_config.h"
#include "proxy/capture_control.h"
#include "proxy/discovery_watch.h"
#include "proxy/gossip_socket.h"
#include "proxy/graceful_shutdown.h"
#include "proxy/hot_restart_coordinator.h"
#include "proxy/resource_limits.h"
#include "proxy/timer_service.h"
#include "router/request_router.h"
#include "transport/clock.h"
#include "transport/event_watcher.h"
#include "upstream/upstream.h"

namespace headrouter {

/// Composes the parts and routes the events between them. Everything runs on the thread of the loop, which
/// must outlive it, as must the log. The clock is copied.
class Balancer {
   public:
    Balancer(struct ev_loop*, const BootstrapConfig&, const Clock&, Log&);
    Balancer(const Balancer&) = delete;
    Balancer& operator=(const Balancer&) = delete;
    ~Balancer() = default;

    /// Takes over from the running process where there is one, and serves. Throws ConfigError where an
    /// address of the configuration cannot be used, and HotRestartError.
    void start();

    /// Takes over the settings that can change under way; discovery moves to the address in `next`. Throws
    /// ConfigError, and leaves everything as it was, where `next` cannot be used.
    void reload(const BootstrapConfig& next);
    /// Counts and logs a reload that was given up, also one whose files could not be read.
    void refuse_reload(const std::string& reason);

    /// Migrates or answers all clients, then breaks the loop.
    void begin_graceful_shutdown();

    /// Records the policy's events from now on; a second call begins a new recording.
    void start_recording(const capture::RecorderConfig& settings) { capture_.start(settings, config_.name); }
    void stop_recording() { capture_.stop(); }
    bool is_recording() const { return capture_.is_recording(); }

    const Counters& counters() const { return counters_; }

   private:
    RouterEnvironment router_environment();
    void add_admin_commands();
    void listen_for_operators();
    int64_t cached_list_version() const;
    void open_gossip(const BootstrapConfig&);
    void open_gossip_at_start();
    void apply_latency_threshold();
    void apply_restored_configuration();
    void set_held_by_previous_process(int descriptors);
    void run_periodic_tasks();
    std::optional<Counter> find_shortage();
    bool is_endpoint_list_outdated() const;
    bool is_serving() const { return started_ && !shutdown_.has_begun(); }
    std::string status() const;
    std::string metrics() const;

    struct ev_loop* loop_;
    BootstrapConfig config_;
    Clock clock_;  // its offset is the previous process's after a hot restart
    Log& log_;
    Counters counters_;
    ResourceLimits limits_;
    TimerService timers_;  // before the router: its policy sets a timer while it is made
    LingeringCloser client_closer_;
    LingeringCloser server_closer_;
    Downstream downstream_;
    Upstream upstream_;
    GossipSocket gossip_;
    RequestRouter router_;
    admin::AdminCommands admin_commands_;
    admin::AdminServer admin_server_;
    DiscoveryWatch discovery_;
    CaptureControl capture_;
    GracefulShutdown shutdown_;
    HotRestartCoordinator hot_restart_;
    TimerWatcher periodic_tasks_;
    bool started_ = false;
};

}  // namespace headrouter
