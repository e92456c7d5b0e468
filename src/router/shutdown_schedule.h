/// When a balancer that shuts down gracefully refuses new requests, and at which pace it migrates established
/// ones.
#pragma once
#include <cstddef>
#include <optional>

#include "base/time.h"

namespace headrouter {

/// Clients go on connecting for a moment after a balancer was told to shut down, as they learn of it late.
/// Requests are served for so long at least.
constexpr Duration shutdown_accept_period = millis(450);

/// Paces the migrations of one balancer. Balancers that restart one after the other must not migrate at the
/// same time, as the clients of the later one would find no balancer.
class ShutdownSchedule {
   public:
    /// Which half of `duration` the migrations take place in.
    enum class Order { first, last };

    /// A balancer that many clients have just come to from others, `recent_reconnects` of its `active`
    /// requests, is not the first that restarts.
    static Order order_for(double recent_reconnects, size_t active);

    /// Begins the shutdown, which is over when about `duration` has passed.
    void start(TimePoint now, Duration duration, Order);

    /// Whether new requests are rejected and established ones migrated.
    bool is_draining(TimePoint now) const { return draining_from_ && now >= *draining_from_; }

    /// What is left then is to be ended at once. Only after `start`.
    bool is_over(TimePoint now) const { return now >= over_at_; }

    /// How many of the `established` requests to migrate now, where this is asked ten times a second: spread
    /// evenly over the time that is left, against a storm of reconnects. Only after `start`.
    size_t migrations_due(TimePoint now, size_t established) const;

   private:
    std::optional<TimePoint> draining_from_;  // nothing before the start
    TimePoint over_at_;
};

}  // namespace headrouter
