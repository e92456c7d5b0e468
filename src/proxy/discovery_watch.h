/// Follows the endpoint list at the configured address, and moves to another address without a gap.
#pragma once
#include <cstdint>
#include <memory>

#include "admin/counters.h"
#include "admin/log.h"
#include "discovery/watch_client.h"
#include "proxy/bootstrap_config.h"
#include "router/request_router.h"
#include "transport/clock.h"

namespace headrouter {

/// Throws ConfigError where `config.discovery` is not HOST:PORT in numbers.
[[nodiscard]] Address discovery_address(const BootstrapConfig& config);

/// The version of a list of which none is known.
constexpr int64_t no_endpoint_list = -1;

/// Hands every update of the endpoint list to the request router. On the loop's thread.
class DiscoveryWatch {
   public:
    DiscoveryWatch(struct ev_loop*, RequestRouter&, const Clock&, Counters&, Log&);

    /// Asks for what has changed since `version`, or for the whole list where that is no_endpoint_list.
    /// `valid_until`: how long the list already known counts as up to date; zero where that is not known.
    void start(const BootstrapConfig&, int64_t version, TimePoint valid_until);

    /// Asks the address in the new configuration for the whole list, as versions are each address's own. The
    /// present address is followed until the new one has answered: a mistyped one must not leave the balancer
    /// without news.
    void switch_to(const BootstrapConfig&);

    void stop();
    bool is_running() const { return current_ != nullptr; }

    /// Whether endpoints may have changed long ago without word of it, at the present or at the next address.
    bool is_outdated(TimePoint now) const;
    /// The version of the list as received last, or no_endpoint_list. Only while it is running.
    int64_t version() const { return current_->version(); }
    /// Only while it is running.
    TimePoint valid_until() const { return current_->fresh_until(); }

   private:
    std::unique_ptr<WatchClient> make_client(const BootstrapConfig&);
    void on_update(const WatchClient&, const EndpointUpdate&);

    struct ev_loop* loop_;
    RequestRouter& router_;
    const Clock& clock_;
    Counters& counters_;
    Log& log_;
    std::unique_ptr<WatchClient> current_;
    std::unique_ptr<WatchClient> next_;  // has not answered yet
};

}  // namespace headrouter
