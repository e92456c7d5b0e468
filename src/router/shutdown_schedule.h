/// Schedules a graceful shutdown: when the balancer starts to reject new requests, and how fast it migrates
/// established ones.
#pragma once
#include <cstddef>
#include <optional>

#include "base/time.h"

namespace headrouter {

/// Minimum time for which new requests are still admitted after a shutdown was requested. Clients learn of
/// the shutdown late and keep connecting in the meantime.
constexpr Duration shutdown_accept_period = millis(450);

/// Paces the migrations of one balancer. Balancers that restart one after the other must not migrate at the
/// same time, because the clients of the later balancer would find no balancer to connect to.
class ShutdownSchedule {
   public:
    /// Whether this balancer migrates in the first half of the shutdown's `duration`, or in its last third
    /// because another balancer restarts before it.
    enum class Order { first, last };

    /// Returns `last` if `recent_reconnects` is a large share of the `active` requests: these clients have
    /// just left another balancer, so this balancer is not the first one to restart.
    static Order order_for(double recent_reconnects, size_t active);

    /// Starts the shutdown. With Order::last, it ends when `duration` has elapsed, with Order::first when
    /// half of it has, but not before `shutdown_accept_period`.
    void start(TimePoint now, Duration duration, Order);

    /// Returns whether new requests are rejected and established requests migrated.
    bool is_draining(TimePoint now) const { return draining_from_ && now >= *draining_from_; }

    /// Returns whether the remaining requests must be ended at once. Must be called only after `start`.
    bool is_over(TimePoint now) const { return now >= ends_at_; }

    /// Returns how many of the `established` requests to migrate now, assuming ten calls a second. Spreads
    /// the migrations evenly over the remaining time to avoid a reconnect storm. Must be called only after
    /// `start`.
    size_t migrations_due(TimePoint now, size_t established) const;

   private:
    std::optional<TimePoint> draining_from_;  // empty before `start`
    TimePoint ends_at_;
};

}  // namespace headrouter
