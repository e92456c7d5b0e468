#include "gossip/gossip_rounds.h"

#include <algorithm>

namespace headrouter::gossip {

namespace {

/// Pooled loads count in full for so many rounds after a sum, and not at all after so many.
constexpr double rounds_fresh = 2, rounds_until_stale = 6;
/// One sum moves what is believed by this factor at the most, as its sender may report anything; the next sum
/// has another sender.
constexpr double max_change = 1.5;
/// A server's load may so rise by this much beyond that factor, in mean load units.
constexpr double change_slack = 8;
/// A sum over fewer than one in so many balancers says little.
constexpr double max_scale = 2;
/// Keeps quotients finite where no server has a weight.
constexpr double least_weight = 1e-9;

double active_weight(const std::vector<ServerEstimate>& servers) {
    double weight = 0;
    for (const ServerEstimate& server : servers) weight += server.is_active ? server.weight : 0;
    return weight;
}

/// What each server's load is by a sum: that of its row, else its part of the load that has no row.
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
    // Scaled up for the balancers that have not reported.
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

// The total may rise freely, as a low one is what would make servers look full, but falls by the factor only.
// Before the first sum it is guessed from the own load.
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
