#include "router/shutdown_schedule.h"

#include <algorithm>

namespace headrouter {

namespace {
// Parts of the duration: when the migrations of a balancer that leaves first end, and those of another one
// begin.
constexpr double first_ends_at = 0.5;
constexpr double last_begins_at = 0.66;

// A balancer is not the first one where this part of its requests, and this many, came from others lately.
constexpr double reconnected_part = 0.4;
constexpr double min_reconnects = 2.0;

constexpr Duration migration_interval = millis(100);
}  // namespace

ShutdownSchedule::Order ShutdownSchedule::order_for(double recent_reconnects, size_t active) {
    const double threshold = std::max(min_reconnects, static_cast<double>(active) * reconnected_part);
    return recent_reconnects < threshold ? Order::first : Order::last;
}

void ShutdownSchedule::start(TimePoint now, Duration duration, Order order) {
    const double begin = order == Order::first ? 0.0 : last_begins_at;
    const double end = order == Order::first ? first_ends_at : 1.0;
    draining_from_ = now + std::max(shutdown_accept_period, duration * begin);
    over_at_ = now + std::max(shutdown_accept_period, duration * end);
}

size_t ShutdownSchedule::migrations_due(TimePoint now, size_t established) const {
    if (is_over(now)) return established;
    const double part = migration_interval / (over_at_ - now);
    return std::min(established, 1 + static_cast<size_t>(static_cast<double>(established) * part));
}

}  // namespace headrouter
