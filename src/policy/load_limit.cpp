#include "policy/load_limit.h"

#include <algorithm>
#include <cmath>

namespace headrouter {

LoadLimit::Surplus LoadLimit::on_latency_report(TimePoint now, double latency, Duration objective,
                                                const Usage& usage, Pcg32& random) {
    const double gap = to_seconds(now - reported_at_);
    const bool has_slope = reported_at_.ns > 0 && gap < longest_gap;
    const double slope = has_slope ? (latency - latency_) / std::max(gap, shortest_gap) : latency;
    const double slow_from = to_seconds(objective) * slow_part_of_objective;
    is_mild_ = latency < slow_from && latency <= latency_ * steady_growth;
    reported_at_ = now;
    latency_ = latency;
    Surplus surplus;
    double limit = usage.load;
    if (latency >= slow_from) {
        const double asked = std::clamp(1 + slope, least_asked, most_asked);
        const double wanted = std::max(least_utilization, target_utilization - latency / backlog_time);
        const double connections = std::max(1.0, static_cast<double>(usage.connections));
        const double part = 1 - std::min(1.0, wanted / asked);
        const double migrations = std::floor(connections * part + random.uniform());
        limit -= usage.load * migrations / connections;
        // Many balancers hold a connection or none each on a server: rounded by chance, their whole
        // connections add up to what it can do; cut off all alike, they would leave it empty (ief3d44). With
        // many connections it hardly matters.
        rounding_ = random.uniform() / std::max(1.0, std::pow(usage.full_share, 2));
        surplus = {usage.load - limit, static_cast<int>(migrations)};
    }
    lower_to(now, limit, usage.full_share);
    return surplus;
}

void LoadLimit::on_reset(TimePoint now, double load, double full_share) {
    lower_to(now, load, full_share);
    is_mild_ = false;
}

void LoadLimit::lower_to(TimePoint now, double load, double full_share) {
    limit_ = std::min(at(now, full_share).value_or(load), load);
    limited_at_ = now;
}

std::optional<double> LoadLimit::at(TimePoint now, double full_share) const {
    if (!is_set()) return std::nullopt;
    const double age = to_seconds(now - limited_at_);
    if (age > limit_lifetime) return std::nullopt;
    // A sound server must be able to take its part of what others lose: what it was cut to a moment ago, when
    // it was slow, would leave all of that to the few without a limit (r067ef1).
    const double least = is_mild_ ? full_share * mild_part_of_share : 0;
    return std::max(least, *limit_ + age * growth_per_second * full_share);
}

}  // namespace headrouter
