#include "proxy/graceful_shutdown.h"

#include <algorithm>

#include "transport/clock.h"

namespace headrouter {

namespace {

/// Upper limit of the migration time, which is otherwise the longest deadline of a request class.
constexpr Duration max_migration_time = seconds(3);
/// Time after the migrations in which the last bytes reach clients and servers.
constexpr Duration drain_time = millis(400);
/// Period before the deadline in which clients that have sent a part of their request line are dismissed too.
constexpr Duration final_dismissal_period = millis(200);

Duration migration_time(const ClusterConfig& config) {
    Duration longest;
    for (const RequestClass& request_class : config.policy.request_classes)
        longest = std::max(longest, request_class.deadline);
    return std::min(longest, max_migration_time);
}

}  // namespace

void GracefulShutdown::begin(const ClusterConfig& config, bool has_handed_over) {
    if (has_begun_) return;
    has_begun_ = true;
    const TimePoint now = Clock::now();
    const Duration migration_duration = migration_time(config);
    accepts_until_ = now + (has_handed_over ? Duration{} : shutdown_accept_period);
    deadline_ = now + migration_duration + drain_time;
    components_.router.begin_graceful_shutdown(migration_duration);
}

bool GracefulShutdown::advance(TimePoint now, bool has_handed_over) {
    if (!has_begun_ || now < accepts_until_) return false;
    if (!has_handed_over && !dismiss_clients(now)) return false;
    return is_done() || now >= deadline_;
}

// Clients that have sent a part of their request line are waited for until the final dismissal period, as the
// last byte of the line makes it a request that must be answered. Returns false while the listener's queue
// still has clients.
bool GracefulShutdown::dismiss_clients(TimePoint now) {
    Downstream& downstream = components_.downstream;
    downstream.dismiss_idle(now >= deadline_ - final_dismissal_period);
    const bool is_overdue = now >= deadline_;
    if (!is_overdue && downstream.size() > 0) return true;
    const bool queue_had_clients = downstream.reject_backlog();
    return !queue_had_clients || is_overdue;
}

bool GracefulShutdown::is_done() const {
    const size_t lingering = components_.client_closer.size() + components_.server_closer.size();
    return components_.router.is_drained() && components_.downstream.size() == 0 && lingering == 0;
}

}  // namespace headrouter
