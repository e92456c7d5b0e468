/// The complete balancer, which an embedding program creates, starts and shuts down on one event loop.
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

/// Composes the parts of the balancer and routes events between them. Everything runs on the thread of the
/// event loop. The loop and the log must outlive the balancer; the clock is copied.
class Balancer {
   public:
    Balancer(struct ev_loop*, const BootstrapConfig&, const Clock&, Log&);
    Balancer(const Balancer&) = delete;
    Balancer& operator=(const Balancer&) = delete;
    ~Balancer() = default;

    /// Takes over from the running process, if there is one, by a hot restart and starts to serve. Throws
    /// ConfigError if an address in the configuration cannot be used, and HotRestartError if the hot restart
    /// fails.
    void start();

    /// Applies those settings of `next` that can change at run time; discovery switches to the address in
    /// `next`. Throws ConfigError if `next` cannot be used; the running configuration is then unchanged.
    void reload(const BootstrapConfig& next);
    /// Counts and logs a reload that failed, including one whose files could not be read.
    void refuse_reload(const std::string& reason);

    /// Begins to migrate or answer all clients; breaks the event loop when that is done.
    void begin_graceful_shutdown();

    /// Starts to record the policy's events; a second call begins a new recording.
    void start_recording(const capture::RecorderConfig& settings) { capture_.start(settings, config_.name); }
    void stop_recording() { capture_.stop(); }
    bool is_recording() const { return capture_.is_recording(); }

    const Counters& counters() const { return counters_; }

   private:
    RouterEnvironment router_environment();
    void add_admin_commands();
    void listen_on_admin_address();
    int64_t cached_list_version() const;
    EndpointStaleness cached_list_staleness() const;
    void open_gossip(const BootstrapConfig&);
    void open_gossip_at_start();
    void apply_min_reported_latency();
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
    Clock clock_;  // after a hot restart with the previous process's offset of the wall clock
    Log& log_;
    Counters counters_;
    ResourceLimits limits_;
    TimerService timers_;  // declared before router_, whose policy sets a timer during construction
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
