#include "gossip/gossip_rounds.h"

#include <algorithm>

namespace headrouter::gossip {

namespace {

/// Age in rounds up to which a sum's pooled loads count in full, and from which they do not count at all.
constexpr double rounds_fresh = 2, rounds_until_stale = 6;
/// Largest factor by which one sum changes the pooled loads. It bounds the effect of a sender that reports
/// false loads; the next sum comes from another sender.
constexpr double max_change = 1.5;
/// Increase of a server's pooled load that one sum may cause beyond `max_change`, in mean load units.
constexpr double change_slack = 8;
/// Largest ratio of all balancers to reporters at which a sum is accepted: fewer reporters represent the
/// fleet too poorly.
constexpr double max_scale = 2;
/// Smallest divisor: keeps quotients finite if no server has a weight.
constexpr double least_weight = 1e-9;

double active_weight(const std::vector<ServerEstimate>& servers) {
    double weight = 0;
    for (const ServerEstimate& server : servers) weight += server.is_active ? server.weight : 0;
    return weight;
}

/// Returns each server's load according to a sum: that of its row or, without a row, its share by weight of
/// the load that no row covers.
std::vector<double> reported_loads(const RoundSum& sum, const std::vector<ServerEstimate>& servers) {
    double load_without_row = sum.total_load;
    double weight_without_row = active_weight(servers);
    for (const IndexedLoad& row : sum.loads) {
        const ServerEstimate& server = servers[row.server.value()];
        load_without_row -= row.load;
        if (server.is_active) weight_without_row -= server.weight;
    }
    std::vector<double> loads;
    loads.reserve(servers.size());
    for (const ServerEstimate& server : servers)
        loads.push_back(std::max(0.0, load_without_row) * server.weight /
                        std::max(weight_without_row, least_weight));
    for (const IndexedLoad& row : sum.loads) loads[row.server.value()] = row.load;
    return loads;
}

}  // namespace

bool GossipRounds::on_sum(TimePoint now, const RoundSum& sum, int replica_count, double own_load,
                          std::vector<ServerEstimate>& servers) {
    // Extrapolates to the balancers that have not reported.
    const double scale = std::max(1.0, replica_count / static_cast<double>(sum.reporter_count));
    if (sum.round <= state_.last_round || scale > max_scale) return false;
    state_.last_round = sum.round;
    update_total(sum, replica_count, own_load, scale);
    const std::vector<double> reported = reported_loads(sum, servers);
    const double all_weight = active_weight(servers);
    for (size_t k = 0; k < servers.size(); ++k) {
        ServerEstimate& server = servers[k];
        const double share = state_.total_load * server.weight / std::max(all_weight, least_weight);
        const double bound = max_change * std::max(server.pooled_load, share) + change_slack;
        server.pooled_load = std::min(reported[k] * scale, bound);
    }
    state_.received_at = now;
    return true;
}

// The total may rise without limit but falls by at most `max_change` for each sum, since a total that is too
// low makes servers look full. Before the first sum the total is estimated from this balancer's own load.
void GossipRounds::update_total(const RoundSum& sum, int replica_count, double own_load, double scale) {
    const bool is_first = state_.received_at.ns <= 0;
    const double known = is_first ? own_load * replica_count / max_change : state_.total_load;
    state_.total_load = std::max(sum.total_load * scale, known / max_change);
}

double GossipRounds::freshness(TimePoint now) const {
    if (state_.received_at.ns == 0) return 0;
    const double rounds = (now - state_.received_at) / round_time;
    return std::clamp((rounds_until_stale - rounds) / (rounds_until_stale - rounds_fresh), 0.0, 1.0);
}

}  // namespace headrouter::gossip
