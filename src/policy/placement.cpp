#include "policy/placement.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace headrouter {

namespace {

/// Servers tried at random before all are examined: a pass over a large fleet for each request costs more.
constexpr int random_tries = 16;
/// Servers with published headroom that are tried before this balancer's own shares decide.
constexpr int max_headroom_tries = 3;

/// Multiple of its share that a server may have in load when it serves a group, by this balancer's own counts
/// and by those of all balancers.
constexpr double own_share_multiple = 1.25;
constexpr double fleet_share_multiple = 3;
/// Additional connections like the request's that the server may have, by the same two counts.
constexpr double own_extra_connections = 2;
constexpr double fleet_extra_connections = 8;
/// Upper bound of own_utilization() where it is weighed against fleet_utilization().
constexpr double max_own_utilization = 2;

/// Ratio of the preferred servers' shares to the group's part of the load.
constexpr double preferred_share_margin = 1.3;

/// Lower bound of divisors that may be zero (shares and weights).
constexpr double epsilon = 1e-9;

/// Returns the load of a connection like the request's, at least that of a mean connection.
double connection_load(const PlacementContext& context) { return std::max(1.0, context.load); }

}  // namespace

std::optional<ServerIndex> Placement::choose_cold(const PlacementContext& context) const {
    std::optional<ServerIndex> first;
    for (const FleetView::DegradedServer& degraded : context.fleet.degraded) {
        const ServerState& server = servers_[degraded.server];
        const bool has_permit = degraded.is_open && warmup_.is_cold(context.now, server);
        // A server whose share is at least the request's load is drawn at random like all others.
        if (!has_permit || degraded.share >= context.load) continue;
        if (degraded.server == context.failed_server || is_slow(context, degraded.server)) continue;
        if (!first || server.subset_draw < servers_[*first].subset_draw) first = degraded.server;
    }
    return first;
}

std::optional<ServerIndex> Placement::choose(const PlacementContext& context) {
    const RequestState& request = context.request;
    const bool by_key = request.group.empty() && config_.passthrough;
    const std::string& ranking_name = by_key ? request.key : request.group;
    return ranking_name.empty() ? choose_at_random(context) : choose_for_group(context, ranking_name);
}

std::optional<ServerIndex> Placement::choose_at_random(const PlacementContext& context) {
    if (const auto server = choose_by_headroom(context)) return server;
    const auto server_count = static_cast<double>(servers_.size());
    for (int tries = 0; tries < random_tries; ++tries) {
        const ServerIndex server{static_cast<size_t>(random_.uniform() * server_count)};
        if (has_room(context, server, false)) return server;
    }
    std::vector<ServerIndex> with_room;
    for (const ServerIndex server : servers_.indexes())
        if (has_room(context, server, false)) with_room.push_back(server);
    if (with_room.empty()) return choose_least_over_share(context, nullptr);
    return with_room[static_cast<size_t>(random_.uniform() * static_cast<double>(with_room.size()))];
}

std::optional<ServerIndex> Placement::choose_by_headroom(const PlacementContext& context) {
    const bool is_new = !context.request.is_reconnect && !context.failed_server;
    if (!config_.aggregates_fleet_load || !is_new) return std::nullopt;
    for (int tries = 0; tries < max_headroom_tries; ++tries) {
        const std::optional<ServerIndex> picked = gossip_.pick_by_headroom(context.now, random_.uniform());
        if (!picked) return std::nullopt;
        if (!is_open(context, *picked) || is_slow(context, *picked)) continue;
        // Headroom is computed by listed weight. A cold or failing server is accepted only with the
        // probability of its share here over its full share.
        const double full_share = context.fleet.share_per_weight * servers_[*picked].weight;
        const double available_fraction =
            shares_.share(context.fleet, *picked) / std::max(full_share, epsilon);
        if (random_.uniform() < available_fraction) return picked;
    }
    return std::nullopt;
}

std::optional<ServerIndex> Placement::choose_for_group(const PlacementContext& context,
                                                       const std::string& ranking_name) {
    const fleet_load::RendezvousRanking& ranking = rankings_.ranking_for(ranking_name, servers_);
    if (const auto with_members = choose_with_members(context, ranking, false)) return with_members;
    PreferredServers preferred;
    if (const auto server = choose_preferred(context, ranking, preferred)) {
        const bool is_group = !context.request.group.empty();
        if (is_group && is_probably_slow(context, *server)) return std::nullopt;
        return server;
    }
    // While much of the fleet is slow, a group that spreads beyond its slow preferred servers would take
    // capacity from all other requests.
    if (preferred.at_load_limit > 0 && context.fleet.is_mostly_slow) return std::nullopt;
    if (context.gossip_trust > 0)
        if (const auto elsewhere = choose_with_members(context, ranking, true)) return elsewhere;
    for (size_t rank = preferred.end; rank < ranking.order.size(); ++rank)
        if (has_room(context, ranking.order[rank], true)) return ranking.order[rank];
    return choose_least_over_share(context, &ranking);
}

std::optional<ServerIndex> Placement::choose_with_members(const PlacementContext& context,
                                                          const fleet_load::RendezvousRanking& ranking,
                                                          bool all_zones) const {
    std::optional<ServerIndex> best;
    const auto consider = [&](ServerIndex server) {
        const bool is_better = !best || ranking.score_of(server) < ranking.score_of(*best);
        if (is_better && has_room(context, server, true)) best = server;
    };
    const bool own_in_all_zones = all_zones || context.gossip_trust <= 0;
    for (const GroupTable::Members& members : groups_.servers_of(context.request.group))
        if (own_in_all_zones || servers_.is_in_near_zone(members.server)) consider(members.server);
    for (const auto& location : gossip_.group_locations().locations_of(context.request.group)) {
        if (!LocationPublisher::is_current(context.now, location)) continue;
        if (all_zones || servers_.is_in_near_zone(location.server)) consider(location.server);
    }
    return best;
}

std::optional<ServerIndex> Placement::choose_preferred(const PlacementContext& context,
                                                       const fleet_load::RendezvousRanking& ranking,
                                                       PreferredServers& preferred) const {
    const bool is_group = !context.request.group.empty();
    double load_left = expected_group_load(context);
    std::optional<ServerIndex> best;
    bool is_first = true;
    for (; preferred.end < ranking.order.size() && (load_left > 0 || !is_group); ++preferred.end) {
        const ServerIndex index = ranking.order[preferred.end];
        if (!is_open(context, index)) continue;
        const double share = shares_.share(context.fleet, index);
        // The rest of the group may fill this server only in part. The random draw then makes it a preferred
        // server at the same fraction of all balancers.
        const double min_load = share * std::exp(-servers_[index].subset_draw);
        if (!is_first && load_left < min_load) break;
        is_first = false;
        load_left -= share;
        if (is_slow(context, index)) ++preferred.at_load_limit;
        if (!has_room(context, index, true)) continue;
        if (!is_group) return index;
        if (!best || subset_rank(index) < subset_rank(*best)) best = index;
    }
    return best;
}

double Placement::expected_group_load(const PlacementContext& context) const {
    // Each member counts as one mean load unit.
    const double members = context.load + groups_.members_of(context.request.group);
    const double total = context.fleet.total_load;
    return preferred_share_margin * members * total / (total + groups_.size_uncertainty());
}

std::optional<ServerIndex> Placement::choose_least_over_share(
    const PlacementContext& context, const fleet_load::RendezvousRanking* ranking) const {
    if (const auto server = choose_least_over_share(context, ranking, false)) return server;
    return choose_least_over_share(context, ranking, true);
}

std::optional<ServerIndex> Placement::choose_least_over_share(const PlacementContext& context,
                                                              const fleet_load::RendezvousRanking* ranking,
                                                              bool allows_mild) const {
    std::optional<ServerIndex> least;
    double least_utilization = 0;
    for (const ServerIndex index : servers_.indexes()) {
        const ServerState& server = servers_[index];
        const bool is_allowed_slow = allows_mild && server.load_limit.has_steady_low_latency();
        if (!is_open(context, index) || (is_slow(context, index) && !is_allowed_slow)) continue;
        // Scales the request's load: by the group's draw for the server or, without a ranking, by this
        // balancer's subset draw.
        const double draw = ranking ? ranking->score_of(index) * server.weight : server.subset_draw;
        const double share = std::max(shares_.share(context.fleet, index), epsilon);
        const double utilization = (loads_.load_on(server) + draw * context.load) / share;
        if (least && !(utilization < least_utilization)) continue;
        least = index;
        least_utilization = utilization;
    }
    return least;
}

bool Placement::has_room(const PlacementContext& context, ServerIndex index, bool in_group) const {
    if (!is_open(context, index) || is_slow(context, index)) return false;
    if (context.failed_server) return index != context.failed_server;
    const ServerState& server = servers_[index];
    const double share = shares_.share(context.fleet, index);
    const double load = loads_.load_on(server);
    if (!in_group) return load + server.subset_draw * context.load <= share;
    if (context.gossip_trust > 0) return has_room_in_fleet(context, server, share);
    return load + context.load <=
           share * own_share_multiple + own_extra_connections * connection_load(context);
}

bool Placement::has_room_in_fleet(const PlacementContext& context, const ServerState& server,
                                  double share) const {
    const double trust = context.gossip_trust;
    const double own = std::min(own_utilization(context, server, share), max_own_utilization);
    return trust * fleet_utilization(context, server, share) + (1 - trust) * own <= 1;
}

double Placement::own_utilization(const PlacementContext& context, const ServerState& server,
                                  double share) const {
    const double load = loads_.load_on(server) + context.load;
    const double load_above_extra = load - own_extra_connections * connection_load(context);
    return load_above_extra / std::max(share * own_share_multiple, epsilon);
}

double Placement::fleet_utilization(const PlacementContext& context, const ServerState& server,
                                    double share) const {
    // The published load, with this balancer's part updated to its current load.
    const double load =
        server.fleet_load + loads_.load_on(server) - server.own_load_in_fleet_load + context.load;
    const double load_above_extra = load - fleet_extra_connections * connection_load(context);
    const double share_of_fleet = share / std::max(context.fleet.total_load, epsilon) * gossip_.fleet_total();
    return load_above_extra / std::max(share_of_fleet * fleet_share_multiple, epsilon);
}

bool Placement::is_open(const PlacementContext& context, ServerIndex index) const {
    return shares_.may_take(context.fleet, context.request, index);
}

bool Placement::is_slow(const PlacementContext& context, ServerIndex index) const {
    const ServerState& server = servers_[index];
    if (!server.degraded_index) return false;
    const std::optional<double>& limit = context.fleet.degraded[*server.degraded_index].load_limit;
    return limit && loads_.load_on(server) + context.load > *limit;
}

bool Placement::is_probably_slow(const PlacementContext& context, ServerIndex index) {
    const ServerState& server = servers_[index];
    const bool has_limit =
        server.degraded_index && context.fleet.degraded[*server.degraded_index].load_limit.has_value();
    const bool reports_latency = !server.connections.empty() || has_limit;
    return !reports_latency && context.fleet.is_mostly_slow &&
           random_.uniform() < context.fleet.slow_fraction;
}

}  // namespace headrouter
