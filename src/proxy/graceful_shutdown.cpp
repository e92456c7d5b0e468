#include "proxy/graceful_shutdown.h"

#include <algorithm>

#include "transport/clock.h"

namespace headrouter {

namespace {

/// Connections are migrated within the longest deadline of a request class, but never later than this.
constexpr Duration max_migration_time = seconds(3);
/// After the migrations, for the last bytes to reach clients and servers.
constexpr Duration drain_time = millis(400);
/// Before the deadline: from here on also clients in the middle of a line are dismissed.
constexpr Duration final_dismissal = millis(200);

Duration migration_time(const ClusterConfig& config) {
    Duration longest;
    for (const RequestClass& request_class : config.policy.request_classes)
        longest = std::max(longest, request_class.deadline);
    return std::min(longest, max_migration_time);
}

}  // namespace

void GracefulShutdown::begin(const ClusterConfig& config, bool has_passed_on) {
    if (has_begun_) return;
    has_begun_ = true;
    const TimePoint now = Clock::now();
    const Duration for_migrations = migration_time(config);
    arrivals_end_ = now + (has_passed_on ? Duration{} : shutdown_accept_period);
    deadline_ = now + for_migrations + drain_time;
    components_.router.begin_graceful_shutdown(for_migrations);
}

bool GracefulShutdown::advance(TimePoint now, bool has_passed_on) {
    if (!has_begun_ || now < arrivals_end_) return false;
    if (!has_passed_on && !dismiss_clients(now)) return false;
    return is_done() || now >= deadline_;
}

// Whoever has begun a line is waited for, nearly to the end: its last byte makes it a request that is owed an
// answer. False while clients still come out of the listener's queue.
bool GracefulShutdown::dismiss_clients(TimePoint now) {
    Downstream& downstream = components_.downstream;
    downstream.dismiss_idle(now >= deadline_ - final_dismissal);
    const bool is_over = now >= deadline_;
    if (!is_over && downstream.size() > 0) return true;
    const bool queue_had_clients = downstream.reject_backlog();
    return !queue_had_clients || is_over;
}

bool GracefulShutdown::is_done() const {
    const size_t lingering = components_.client_closer.size() + components_.server_closer.size();
    return components_.router.is_drained() && components_.downstream.size() == 0 && lingering == 0;
}

}  // namespace headrouter
