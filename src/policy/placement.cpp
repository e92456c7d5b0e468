#include "policy/placement.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace headrouter {

namespace {

/// Servers tried at random before all are looked at: a pass over a large fleet for each request costs more.
constexpr int random_tries = 16;
/// Servers tried that have headroom over all balancers, before the own share decides.
constexpr int headroom_tries = 3;

/// How many times its share a server may have for a group, by the own counts and by those of all balancers.
constexpr double own_slack = 1.25;
constexpr double fleet_slack = 3;
/// How many connections like the request's it may have on top, likewise.
constexpr double own_room = 2;
constexpr double fleet_room = 8;
/// The most that the own counts weigh against those of all balancers, in parts of what they allow.
constexpr double most_own_use = 2;

/// How much larger than a group's part of the load its preferred servers' shares are.
constexpr double preferred_margin = 1.3;

/// In place of a share or weight of zero that is divided by.
constexpr double epsilon = 1e-9;

/// The load of a connection like the request's, which counts as a mean one at least.
double connection_load(const PlacementContext& context) { return std::max(1.0, context.load); }

}  // namespace

std::optional<ServerIndex> Placement::choose_cold(const PlacementContext& context) const {
    std::optional<ServerIndex> first;
    for (const FleetView::DegradedServer& degraded : context.fleet.degraded) {
        const ServerState& server = servers_[degraded.server];
        const bool has_permit = degraded.is_open && warmup_.is_cold(context.now, server);
        // From a share of the request's load on, the server is drawn like all others.
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
    for (int tries = 0; tries < headroom_tries; ++tries) {
        const std::optional<ServerIndex> picked = gossip_.pick_by_headroom(context.now, random_.uniform());
        if (!picked) return std::nullopt;
        if (!is_open(context, *picked) || is_slow(context, *picked)) continue;
        // Headroom is by listed weight. A server that is cold or failing gets the part that it has here.
        const double sound_share = context.fleet.share_per_weight * servers_[*picked].weight;
        const double ready_part = shares_.share(context.fleet, *picked) / std::max(sound_share, epsilon);
        if (random_.uniform() < ready_part) return picked;
    }
    return std::nullopt;
}

std::optional<ServerIndex> Placement::choose_for_group(const PlacementContext& context,
                                                       const std::string& ranking_name) {
    const fleet_load::RendezvousRanking& ranking = rankings_.of(ranking_name, servers_);
    if (const auto with_members = choose_with_members(context, ranking, false)) return with_members;
    PreferredServers preferred;
    if (const auto server = choose_preferred(context, ranking, preferred)) {
        const bool is_group = !context.request.group.empty();
        if (is_group && is_probably_slow(context, *server)) return std::nullopt;
        return server;
    }
    // Where much of the fleet is slow, a group that spreads beyond its slow preferred servers takes room from
    // all others.
    if (preferred.slow > 0 && context.fleet.is_mostly_slow) return std::nullopt;
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
        // Of a server that the rest of the group fills in part, as large a part of all balancers has it among
        // the preferred ones.
        const double least_load = share * std::exp(-servers_[index].subset_draw);
        if (!is_first && load_left < least_load) break;
        is_first = false;
        load_left -= share;
        if (is_slow(context, index)) ++preferred.slow;
        if (!has_room(context, index, true)) continue;
        if (!is_group) return index;
        if (!best || subset_rank(index) < subset_rank(*best)) best = index;
    }
    return best;
}

double Placement::expected_group_load(const PlacementContext& context) const {
    // Members count as one mean load unit each.
    const double members = context.load + groups_.members_of(context.request.group);
    const double total = context.fleet.total_load;
    return preferred_margin * members * total / (total + groups_.size_uncertainty());
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
    double least_use = 0;
    for (const ServerIndex index : servers_.indexes()) {
        const ServerState& server = servers_[index];
        const bool is_allowed_slow = allows_mild && server.load_limit.has_steady_low_latency();
        if (!is_open(context, index) || (is_slow(context, index) && !is_allowed_slow)) continue;
        // What a connection counts here: by the group's draw, else by this balancer's.
        const double draw = ranking ? ranking->score_of(index) * server.weight : server.subset_draw;
        const double share = std::max(shares_.share(context.fleet, index), epsilon);
        const double use = (loads_.load_on(server) + draw * context.load) / share;
        if (least && !(use < least_use)) continue;
        least = index;
        least_use = use;
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
    return load + context.load <= share * own_slack + own_room * connection_load(context);
}

bool Placement::has_room_in_fleet(const PlacementContext& context, const ServerState& server,
                                  double share) const {
    const double trust = context.gossip_trust;
    const double own = std::min(own_use(context, server, share), most_own_use);
    return trust * fleet_use(context, server, share) + (1 - trust) * own <= 1;
}

double Placement::own_use(const PlacementContext& context, const ServerState& server, double share) const {
    const double load = loads_.load_on(server) + context.load;
    const double beyond_room = load - own_room * connection_load(context);
    return beyond_room / std::max(share * own_slack, epsilon);
}

double Placement::fleet_use(const PlacementContext& context, const ServerState& server, double share) const {
    // The published load, with this balancer's part as it is now.
    const double load =
        server.fleet_load + loads_.load_on(server) - server.own_load_in_fleet_load + context.load;
    const double beyond_room = load - fleet_room * connection_load(context);
    const double share_of_fleet = share / std::max(context.fleet.total_load, epsilon) * gossip_.fleet_total();
    return beyond_room / std::max(share_of_fleet * fleet_slack, epsilon);
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
    const bool is_heard = !server.connections.empty() || has_limit;
    return !is_heard && context.fleet.is_mostly_slow && random_.uniform() < context.fleet.slow_fraction;
}

}  // namespace headrouter
