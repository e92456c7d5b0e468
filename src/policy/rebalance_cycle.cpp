#include "policy/rebalance_cycle.h"

#include <algorithm>
#include <cmath>
#include <optional>

#include "policy/eligibility.h"
#include "policy/timers.h"

namespace headrouter {

namespace {

/// Time from a cycle's start until saturated servers are drained, so that the first requests of the cycle are
/// placed before.
constexpr Duration drain_delay = seconds(0.5);
/// Minimum excess that is migrated off, in mean load units. Where shares are below one connection, a few
/// members of one group together would be an excess on any server.
constexpr double min_excess = 10;
/// Minimum number of migrations per cycle off a server that is drained. A larger number would empty the
/// server where each balancer has only a few connections on it.
constexpr int min_migrations = 1;

/// Load that a group causes on a server in addition to the load of its members, in mean load units.
constexpr double group_load = 4;
/// Reduction of the value of migrating a protected connection, in mean load units.
constexpr double protection_cost = group_load * 4;

}  // namespace

void RebalanceCycle::start(TimePoint now) {
    actions_.set_timer(cycle_clock::next_cycle(now), timer_token(TimerKind::cycle_begins));
}

void RebalanceCycle::begin(TimePoint now) {
    eject_outliers(now);
    warmup_.on_cycle();
    actions_.set_timer(now + drain_delay, timer_token(TimerKind::plan_migrations));
    start(now);
}

void RebalanceCycle::eject_outliers(TimePoint now) {
    bool any_ejected = false;
    for (const ServerIndex index : servers_.indexes()) {
        if (!servers_[index].outliers.end_cycle(now)) continue;
        degraded_.mark(index);
        any_ejected = true;
    }
    if (!any_ejected) return;
    for (ServerState& server : servers_.all()) {
        server.drain.forget_excess();
        for (const RequestId id : server.connections) requests_.at(id).is_protected = false;
        server.protected_connections = 0;
    }
}

void RebalanceCycle::plan_migrations(TimePoint now) {
    const FleetView fleet = shares_.view(now, nullptr);
    for (const ServerIndex index : servers_.indexes()) {
        const ServerState& server = servers_[index];
        const bool has_share = server.degraded_index ? fleet.degraded[*server.degraded_index].is_counted
                                                     : eligibility::takes_new_requests(server.endpoint.state);
        if (has_share) plan_drain(now, index, shares_.share(fleet, index));
    }
}

void RebalanceCycle::plan_drain(TimePoint now, ServerIndex index, double share) {
    ServerState& server = servers_[index];
    const double load = loads_.load_on(server);
    const double excess = load - share;
    const bool is_balanced = load <= share * saturation_band;
    if (is_balanced) server.drain.set_protected_first(true);  // connections are no longer protected
    if (is_balanced || excess < min_excess) return;
    const double largest = server.drain.record_excess(now, excess);
    const double part_of_cycle = largest / cycle_clock::cycles_remembered;
    const int migrations = std::max(min_migrations, static_cast<int>(std::ceil(part_of_cycle)));
    // A migration is assumed to free one mean load unit.
    const double surplus = std::min<double>(migrations, excess);
    start_drain(now, index, surplus, migrations, cycle_clock::active_time - drain_delay);
}

void RebalanceCycle::start_drain(TimePoint now, ServerIndex server, double load, int steps,
                                 Duration duration) {
    const auto first = servers_[server].drain.start(now, load, steps, duration, random_);
    if (first) actions_.set_timer(*first, timer_token(TimerKind::migrate_next, server));
}

RequestId RebalanceCycle::select(TimePoint now, ServerIndex server) {
    if (!servers_.contains(server)) return 0;
    ServerState& state = servers_[server];
    if (!state.drain.begin_step() || state.connections.empty()) return 0;
    return select_migration(now, state);
}

void RebalanceCycle::on_migrated(TimePoint now, ServerIndex server, double load) {
    const auto next = servers_[server].drain.end_step(now, load);
    if (next) actions_.set_timer(*next, timer_token(TimerKind::migrate_next, server));
}

RequestId RebalanceCycle::select_migration(TimePoint now, const ServerState& server) {
    const size_t count = server.connections.size();
    const auto first = static_cast<size_t>(random_.uniform() * static_cast<double>(count));
    const std::optional<double> limit = loads_.rounded_load_limit(now, server);
    const bool is_slow = limit && *limit < loads_.load_on(server);
    const RequestState* best = nullptr;
    double best_value = 0;
    for (size_t k = 0; k < count; ++k) {
        const RequestState& request = requests_.at(server.connections[(first + k) % count]);
        if (request.attempts.empty() || !request.attempts.back().established) continue;
        if (request.is_protected && server.drain.protected_go_first()) return request.id;
        if (request.is_protected && !is_slow) continue;
        const double value = load_freed_by(request, server) - (request.is_protected ? protection_cost : 0);
        if (best && !(value > best_value)) continue;
        best = &request;
        best_value = value;
    }
    return best ? best->id : 0;
}

double RebalanceCycle::load_freed_by(const RequestState& request, const ServerState& server) const {
    const double freed = std::min(loads_.load_of(request), server.drain.remaining());
    if (request.group.empty()) return freed;
    return freed + group_load / groups_.members_on(request.group, request.attempts.back().server);
}

}  // namespace headrouter
