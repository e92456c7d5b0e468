#include "router/shutdown_schedule.h"

#include <algorithm>

namespace headrouter {

namespace {
// Fractions of the duration: the end of the migrations with Order::first, and their begin with Order::last.
constexpr double first_end_fraction = 0.5;
constexpr double last_begin_fraction = 0.66;

// A balancer is not the first to restart if at least this share of its active requests, and at least this
// number of requests, recently reconnected from other balancers.
constexpr double min_reconnect_share = 0.4;
constexpr double min_reconnects = 2.0;

constexpr Duration migration_interval = millis(100);
}  // namespace

ShutdownSchedule::Order ShutdownSchedule::order_for(double recent_reconnects, size_t active) {
    const double threshold = std::max(min_reconnects, static_cast<double>(active) * min_reconnect_share);
    return recent_reconnects < threshold ? Order::first : Order::last;
}

void ShutdownSchedule::start(TimePoint now, Duration duration, Order order) {
    const double begin = order == Order::first ? 0.0 : last_begin_fraction;
    const double end = order == Order::first ? first_end_fraction : 1.0;
    draining_from_ = now + std::max(shutdown_accept_period, duration * begin);
    ends_at_ = now + std::max(shutdown_accept_period, duration * end);
}

size_t ShutdownSchedule::migrations_due(TimePoint now, size_t established) const {
    if (is_over(now)) return established;
    const double fraction = migration_interval / (ends_at_ - now);
    return std::min(established, 1 + static_cast<size_t>(static_cast<double>(established) * fraction));
}

}  // namespace headrouter
