/// Watches the endpoint list at the configured address and switches to another address without a gap.
#pragma once
#include <cstdint>
#include <memory>

#include "admin/counters.h"
#include "admin/log.h"
#include "discovery/reported_drains.h"
#include "discovery/watch_client.h"
#include "proxy/bootstrap_config.h"
#include "router/request_router.h"
#include "transport/clock.h"

namespace headrouter {

/// Returns the address of discovery. Throws ConfigError if `config.discovery` is not a numeric HOST:PORT.
[[nodiscard]] Address discovery_address(const BootstrapConfig& config);

/// Stands for the version of the endpoint list while no list is known.
constexpr int64_t no_endpoint_list = unknown_list_version;

/// The endpoint list that a process has at its start.
struct InitialEndpointList {
    int64_t version = no_endpoint_list;  ///< no_endpoint_list: discovery has to send the whole list
    EndpointStaleness staleness;
};

/// Passes every update of the endpoint list to the request router. Used on the event loop's thread.
class DiscoveryWatch {
   public:
    DiscoveryWatch(struct ev_loop*, RequestRouter&, const Clock&, Counters&, Log&);

    /// Starts the watch: requests the changes since the version of `list`, or the whole list.
    void start(const BootstrapConfig&, const InitialEndpointList& list);

    /// Requests the whole list from the address in the new configuration, as versions of different addresses
    /// are not comparable. The watch of the current address goes on until the new address has answered, so
    /// that a mistyped address does not leave the balancer without updates. Drains that the current address
    /// has reported are kept for a while, see ReportedDrains.
    void switch_to(const BootstrapConfig&);

    void stop();
    bool is_running() const { return current_ != nullptr; }

    /// Returns whether the list of the current or the next address may have missed changes for too long.
    bool is_outdated(TimePoint now) const;
    /// Logs when the list becomes outdated and when it is current again. To be called at short intervals.
    void log_outdated_list(TimePoint now);
    /// Returns the version of the list received last; no_endpoint_list while the next address has not
    /// answered, because it counts versions in its own way. Requires is_running().
    int64_t version() const { return next_ ? no_endpoint_list : current_->version(); }
    /// Returns how long the list is known to be current, and when it becomes stale for the current or the
    /// next address. Requires is_running().
    EndpointStaleness::State staleness() const;

   private:
    std::unique_ptr<WatchClient> make_client(const BootstrapConfig&);
    void on_update(const WatchClient&, const EndpointUpdate&);
    void release_drains();
    void schedule_release();

    struct ev_loop* loop_;
    RequestRouter& router_;
    const Clock& clock_;
    Counters& counters_;
    Log& log_;
    std::unique_ptr<WatchClient> current_;
    ReportedDrains drains_;  // not transferred at a hot restart
    TimerWatcher release_timer_;
    std::unique_ptr<WatchClient> next_;  // until its address has answered; then it becomes current_
    bool was_outdated_ = false;          // when log_outdated_list() was called last
};

}  // namespace headrouter
