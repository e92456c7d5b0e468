#include "policy/load_limit.h"

#include <algorithm>
#include <cmath>

namespace headrouter {

LoadLimit::Surplus LoadLimit::on_latency_report(TimePoint now, double latency_seconds, Duration objective,
                                                const Usage& usage, Pcg32& random) {
    const double current_demand = demand(now, latency_seconds);
    const bool is_slow = latency_seconds >= to_seconds(objective) * slow_objective_fraction;
    state_.has_steady_low_latency = !is_slow && latency_seconds <= state_.latency * max_steady_growth;
    state_.reported_at = now;
    state_.latency = latency_seconds;
    if (!is_slow) {
        lower_to(now, usage.load, usage.full_share);
        return {};
    }
    const double connections = std::max(1.0, static_cast<double>(usage.connections));
    const double surplus_fraction = 1 - std::min(1.0, wanted_utilization(latency_seconds) / current_demand);
    const double migrations = std::floor(connections * surplus_fraction + random.uniform());
    const double limit = usage.load - usage.load * migrations / connections;
    // The rounding is smaller for a large full share: with many connections, it hardly matters.
    state_.rounding = random.uniform() / std::max(1.0, std::pow(usage.full_share, 2));
    lower_to(now, limit, usage.full_share);
    return {usage.load - limit, static_cast<int>(migrations)};
}

double LoadLimit::demand(TimePoint now, double latency_seconds) const {
    const Duration gap = now - state_.reported_at;
    const bool is_comparable = state_.reported_at.ns > 0 && gap < max_report_gap;
    // Without a recent report, the whole latency counts as growth within one second.
    const double latency_growth =
        is_comparable ? (latency_seconds - state_.latency) / to_seconds(std::max(gap, min_report_gap))
                      : latency_seconds;
    return std::clamp(1 + latency_growth, min_demand, max_demand);
}

double LoadLimit::wanted_utilization(double latency_seconds) {
    return std::max(min_utilization, target_utilization - latency_seconds / to_seconds(backlog_drain_time));
}

void LoadLimit::on_reset(TimePoint now, double load, double full_share) {
    lower_to(now, load, full_share);
    state_.has_steady_low_latency = false;
}

void LoadLimit::lower_to(TimePoint now, double load, double full_share) {
    state_.limit = std::min(at(now, full_share).value_or(load), load);
    state_.limited_at = now;
}

std::optional<double> LoadLimit::at(TimePoint now, double full_share) const {
    if (!is_set()) return std::nullopt;
    const Duration age = now - state_.limited_at;
    if (age > limit_lifetime) return std::nullopt;
    // A server with a steady low latency must be able to take its part of the load that other servers lose.
    // If its limit from an earlier slow period still applied, the few servers without a limit would get all
    // of that load.
    const double min_limit = state_.has_steady_low_latency ? full_share * steady_low_latency_share : 0;
    return std::max(min_limit, *state_.limit + to_seconds(age) * growth_per_second * full_share);
}

}  // namespace headrouter
