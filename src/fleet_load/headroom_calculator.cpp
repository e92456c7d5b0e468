#include "fleet_load/headroom_calculator.h"

#include <algorithm>
#include <cmath>
#include <map>

#include "fleet_load/message_order.h"

namespace headrouter::fleet_load {

using gossip::ServerLoad;

namespace {

/// Delay from enough reporters to the first headroom, so that it covers all reporters and not only the
/// earliest.
constexpr Duration gather_time = millis(600);
/// Reporters needed for headroom: two others and this one, so that no single balancer's report decides the
/// headroom.
constexpr int min_reporters = 3;
/// A server that this many reporters found slow or failing gets no headroom, unless more than
/// `max_degraded_fraction` of the fleet is degraded.
constexpr int min_degraded_reports = 2;
constexpr double max_degraded_fraction = 0.25;
/// Load assumed for a degraded server, whose report carries no load; in mean load units.
constexpr double degraded_load = 1;
/// Most new connections at a server that one report may add to the arrivals.
constexpr double max_arrivals_per_row = 4;
/// A server's largest report is cut to twice the second largest plus this, in mean load units.
constexpr double outlier_slack = 2;
/// Floor for a server's expected arrivals: at low traffic, a fraction of a connection too few or too many is
/// negligible.
constexpr double min_expected_arrivals = 0.5;
/// Bounds of the time over which arrivals are counted; the window holds that many seconds.
constexpr double least_counted_seconds = 1;
constexpr double most_counted_seconds = 4;
/// Smallest divisor: keeps quotients finite if no server has a weight.
constexpr double least_weight = 1e-9;

double load_in_report(const std::vector<ServerLoad>& loads, gossip::ShortServerId server) {
    const auto it =
        std::find_if(loads.begin(), loads.end(), [&](const ServerLoad& row) { return row.server == server; });
    return it == loads.end() ? 0 : std::max(0.0, it->load);
}

}  // namespace

/// Sums a server's load over all reporters.
struct HeadroomCalculator::ServerTotal {
    double sum = 0;
    double largest = 0;
    double second_largest = 0;
    int degraded_reports = 0;

    void add(double reported) {
        const bool is_degraded = reported < 0;
        const double load = is_degraded ? degraded_load : reported;
        degraded_reports += is_degraded ? 1 : 0;
        sum += load;
        second_largest = std::max(second_largest, std::min(largest, load));
        largest = std::max(largest, load);
    }
    /// Cuts the largest report to twice the second largest plus `outlier_slack`, so that one false report
    /// cannot make a server look full.
    void discount_outlier() { sum -= std::max(0.0, largest - 2 * second_largest - outlier_slack); }
    [[nodiscard]] bool is_degraded() const { return degraded_reports >= min_degraded_reports; }
};

struct HeadroomCalculator::FleetTotals {
    int reporters = 0;
    std::map<gossip::ShortServerId, ServerTotal> servers;
};

bool HeadroomCalculator::Reporter::is_current(TimePoint now) const {
    return received_at.ns > 0 && now - received_at <= message_lifetime;
}

void HeadroomCalculator::begin_epoch() {
    state_.enough_reporters_at = TimePoint{};
    state_.reporters.clear();
}

void HeadroomCalculator::on_load_report(TimePoint now, int from, int replica_count,
                                        const gossip::Message& message) {
    state_.reporters.resize(static_cast<size_t>(replica_count));
    Reporter& reporter = state_.reporters[static_cast<size_t>(from)];
    const bool is_first = reporter.received_at.ns <= 0;
    if (!is_first && !is_newer(message.timestamp, reporter.timestamp, now, reporter.received_at)) return;
    // Without a recent earlier report to compare with, no load of this one is known to be new.
    if (!is_first && now - reporter.received_at < message_lifetime)
        count_arrivals(now, reporter, message.loads);
    reporter.received_at = now;
    reporter.timestamp = message.timestamp;
    reporter.loads = message.loads;
}

void HeadroomCalculator::count_arrivals(TimePoint now, const Reporter& reporter,
                                        const std::vector<ServerLoad>& loads) {
    for (const ServerLoad& row : loads) {
        const double before = load_in_report(reporter.loads, row.server);
        if (row.load > before) state_.arrivals.add(now, std::min(row.load - before, max_arrivals_per_row));
    }
}

std::optional<std::vector<int>> HeadroomCalculator::compute(TimePoint now, int replica_count,
                                                            const std::vector<EligibleServer>& servers) {
    if (now - state_.computed_at < round_time) return std::nullopt;
    FleetTotals totals = sum_reports(now);
    if (!has_gathered(now, totals.reporters, replica_count)) return std::nullopt;
    for (const EligibleServer& server : servers) totals.servers[server.short_id].discount_outlier();
    std::vector<int> headroom = headroom_for(now, totals, servers);
    state_.computed_at = now;
    return headroom;
}

std::vector<int> HeadroomCalculator::current_reporters(TimePoint now) const {
    std::vector<int> replicas;
    for (size_t k = 0; k < state_.reporters.size(); ++k)
        if (state_.reporters[k].is_current(now)) replicas.push_back(static_cast<int>(k));
    return replicas;
}

HeadroomCalculator::FleetTotals HeadroomCalculator::sum_reports(TimePoint now) const {
    FleetTotals totals;
    for (const Reporter& reporter : state_.reporters) {
        if (!reporter.is_current(now)) continue;
        ++totals.reporters;
        for (const ServerLoad& row : reporter.loads) totals.servers[row.server].add(row.load);
    }
    return totals;
}

bool HeadroomCalculator::has_gathered(TimePoint now, int reporters, int replica_count) {
    if (reporters < std::min(min_reporters, replica_count)) {
        state_.enough_reporters_at = TimePoint{};
        return false;
    }
    if (state_.enough_reporters_at.ns == 0) state_.enough_reporters_at = now;
    return now - state_.enough_reporters_at >= gather_time;
}

double HeadroomCalculator::arrivals_per_round(TimePoint now) {
    const double counted_seconds =
        std::clamp(to_seconds(now - state_.enough_reporters_at), least_counted_seconds, most_counted_seconds);
    return state_.arrivals.sum(now) / counted_seconds * to_seconds(round_time);
}

// Returns what each server should get of the next round's connections, in multiples of its share by weight:
// that share plus the deficit of its load against the mean.
std::vector<int> HeadroomCalculator::headroom_for(TimePoint now, const FleetTotals& totals,
                                                  const std::vector<EligibleServer>& servers) {
    double fleet_load = 0;
    double fleet_weight = 0;
    int degraded = 0;
    for (const EligibleServer& server : servers) {
        const ServerTotal& total = totals.servers.at(server.short_id);
        fleet_load += total.sum;
        fleet_weight += server.weight;
        degraded += total.is_degraded() ? 1 : 0;
    }
    const bool avoids_degraded = degraded <= max_degraded_fraction * static_cast<double>(servers.size());
    const double arrivals = arrivals_per_round(now);

    std::vector<int> headroom;
    double rounding = 0;  // error carried from server to server, so that the rounded values keep the sum
    for (const EligibleServer& server : servers) {
        const ServerTotal& total = totals.servers.at(server.short_id);
        const double share = server.weight / std::max(fleet_weight, least_weight);
        const double deficit = fleet_load * share - total.sum;
        const double wanted = 1 + deficit / std::max(arrivals * share, min_expected_arrivals);
        const bool is_avoided = avoids_degraded && total.is_degraded();
        const double exact = is_avoided ? 0 : std::clamp(wanted, 0.0, 1.0 * gossip::max_headroom);
        const int rounded =
            std::clamp(static_cast<int>(std::lround(exact + rounding)), 0, gossip::max_headroom);
        rounding = std::clamp(rounding + exact - rounded, -0.5, 0.5);
        headroom.push_back(rounded);
    }
    return headroom;
}

}  // namespace headrouter::fleet_load
