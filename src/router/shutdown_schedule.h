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

/// Where balancers restart one after the other, the one that leaves first must have migrated its clients
/// before the next one leaves, and that one must wait until the first is back: its clients would find nobody
/// if they came earlier.
class ShutdownSchedule {
   public:
    /// Which half of `duration` the migrations take place in.
    enum class Order { first, last };

    /// A balancer that many clients have just come to from others, `recent_reconnects` of its `active`
    /// requests, is not the first that restarts.
    static Order order_for(double recent_reconnects, size_t active);

    /// Begins the shutdown, which is over when about `duration` has passed.
    void start(TimePoint now, Duration duration, Order);

    /// New requests are rejected and established ones migrated: a place here would last a moment and cost a
    /// migration.
    bool is_draining(TimePoint now) const { return draining_from_ && now >= *draining_from_; }

    /// What is left then is to be ended at once. Only after `start`.
    bool is_over(TimePoint now) const { return now >= over_at_; }

    /// How many of the `established` requests to migrate now, where this is asked ten times a second. They
    /// are spread evenly over the time that is left: reconnects that all came at once would be a storm for
    /// the balancers that stay and for the servers. Only after `start`.
    size_t migrations_due(TimePoint now, size_t established) const;

   private:
    std::optional<TimePoint> draining_from_;  // nothing before the start
    TimePoint over_at_;
};

}  // namespace headrouter
