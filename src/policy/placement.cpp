#include "policy/placement.h"

#include <algorithm>
#include <cmath>

namespace headrouter {

std::optional<ServerIndex> Placement::choose_cold(const PlacementContext& context) const {
    std::optional<ServerIndex> first;
    for (const FleetView::DegradedServer& degraded : context.fleet.degraded) {
        const ServerState& server = servers_[degraded.server];
        const bool needs_permit = degraded.is_open && servers_.is_cold(context.now, server);
        if (!needs_permit || degraded.share >= context.load) continue;
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
    const auto n = static_cast<double>(servers_.size());
    for (int tries = 0; tries < random_tries; ++tries) {
        const ServerIndex server{static_cast<size_t>(random_.uniform() * n)};
        if (has_room(context, server, false)) return server;
    }
    std::vector<ServerIndex> below_share;
    for (const ServerIndex server : servers_.indexes())
        if (has_room(context, server, false)) below_share.push_back(server);
    if (below_share.empty()) return choose_least_over_share(context, nullptr);
    return below_share[static_cast<size_t>(random_.uniform() * static_cast<double>(below_share.size()))];
}

std::optional<ServerIndex> Placement::choose_by_headroom(const PlacementContext& context) {
    const bool is_new = !context.request.is_reconnect && !context.failed_server;
    if (!config_.aggregates_fleet_load || !is_new) return std::nullopt;
    for (int tries = 0; tries < headroom_tries; ++tries) {
        const std::optional<ServerIndex> picked = gossip_.pick_by_headroom(context.now, random_.uniform());
        if (!picked) return std::nullopt;
        const ServerIndex server = *picked;
        const double sound_share = context.fleet.share_per_weight * servers_[server].weight;
        const double ready_part = shares_.share(context.fleet, server) / std::max(sound_share, epsilon);
        if (!is_open(context, server) || is_slow(context, server)) continue;
        if (random_.uniform() < ready_part) return server;
    }
    return std::nullopt;
}

std::optional<ServerIndex> Placement::choose_for_group(const PlacementContext& context,
                                                       const std::string& ranking_name) {
    const fleet_load::RendezvousRanking& ranking = rankings_.of(ranking_name, servers_);
    const std::optional<ServerIndex> with_members = choose_with_members(context, ranking, false);
    if (with_members) return with_members;
    PreferredServers preferred;
    const std::optional<ServerIndex> home = choose_preferred(context, ranking, preferred);
    if (home) {
        const bool is_group = !context.request.group.empty();
        if (is_group && is_probably_slow(context, *home)) return std::nullopt;
        return home;
    }
    // Where much of the fleet is slow, a group that spreads beyond its slow preferred servers takes room from
    // all others (i14adcf).
    if (preferred.slow > 0 && context.fleet.is_mostly_slow) return std::nullopt;
    if (context.gossip_trust > 0) {
        const std::optional<ServerIndex> elsewhere = choose_with_members(context, ranking, true);
        if (elsewhere) return elsewhere;
    }
    for (size_t at = preferred.end; at < ranking.order.size(); ++at)
        if (has_room(context, ranking.order[at], true)) return ranking.order[at];
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
    gossip_.for_each_location(context.now, context.request.group, [&](ServerIndex server) {
        if (all_zones || servers_.is_in_near_zone(server)) consider(server);
    });
    return best;
}

std::optional<ServerIndex> Placement::choose_preferred(const PlacementContext& context,
                                                       const fleet_load::RendezvousRanking& ranking,
                                                       PreferredServers& preferred) const {
    const std::string& group = context.request.group;
    const double total = context.fleet.total_load;
    double needed = preferred_margin * (context.load + groups_.members_of(group)) * total /
                    (total + groups_.size_uncertainty());
    std::optional<ServerIndex> best;
    bool is_first = true;
    for (; preferred.end < ranking.order.size() && (needed > 0 || group.empty()); ++preferred.end) {
        const ServerIndex server = ranking.order[preferred.end];
        if (!is_open(context, server)) continue;
        const double share = shares_.share(context.fleet, server);
        if (!is_first && needed < share * std::exp(-servers_[server].subset_draw)) break;
        is_first = false;
        needed -= share;
        preferred.slow += is_slow(context, server);
        if (!has_room(context, server, true)) continue;
        if (group.empty()) return server;
        if (!best || subset_rank(server) < subset_rank(*best)) best = server;
    }
    return best;
}

std::optional<ServerIndex> Placement::choose_least_over_share(
    const PlacementContext& context, const fleet_load::RendezvousRanking* ranking) const {
    for (const bool allows_mild : {false, true}) {
        std::optional<ServerIndex> least;
        double least_over = 0;
        for (const ServerIndex index : servers_.indexes()) {
            const ServerState& server = servers_[index];
            const bool is_allowed_slow = allows_mild && server.load_limit.is_mild();
            if (!is_open(context, index) || (is_slow(context, index) && !is_allowed_slow)) continue;
            const double added = ranking ? ranking->score_of(index) * server.weight : server.subset_draw;
            const double share = std::max(shares_.share(context.fleet, index), epsilon);
            const double over = (servers_.load_on(server) + added * context.load) / share;
            if (least && !(over < least_over)) continue;
            least = index;
            least_over = over;
        }
        if (least) return least;
    }
    return std::nullopt;
}

bool Placement::has_room(const PlacementContext& context, ServerIndex server, bool in_group) const {
    if (!is_open(context, server) || is_slow(context, server)) return false;
    if (context.failed_server) return server != context.failed_server;
    const double share = shares_.share(context.fleet, server);
    const double load = servers_.load_on(servers_[server]);
    if (!in_group) return load + servers_[server].subset_draw * context.load <= share;
    if (context.gossip_trust > 0) return has_room_in_fleet(context, server, share);
    return load + context.load <= share * own_slack + own_room * std::max(1.0, context.load);
}

bool Placement::has_room_in_fleet(const PlacementContext& context, ServerIndex server, double share) const {
    const ServerState& state = servers_[server];
    const double load = servers_.load_on(state);
    const double spare = std::max(1.0, context.load);
    const double own_use = (load + context.load - own_room * spare) / std::max(share * own_slack, epsilon);
    const double fleet_share = share / std::max(context.fleet.total_load, epsilon) * gossip_.fleet_total();
    const double fleet_load =
        state.fleet_load + load - state.own_load_then + context.load - fleet_room * spare;
    const double fleet_use = fleet_load / std::max(fleet_share * fleet_slack, epsilon);
    const double trust = context.gossip_trust;
    return trust * fleet_use + (1 - trust) * std::min(own_use, most_own_use) <= 1;
}

bool Placement::is_open(const PlacementContext& context, ServerIndex server) const {
    const ServerState& state = servers_[server];
    if (state.degraded_index) return context.fleet.degraded[*state.degraded_index].is_open;
    return state.endpoint.state == EndpointState::active && server != context.fleet.excluded_server &&
           shares_.is_in_dedup_scope(context.request, state);
}

bool Placement::is_probably_slow(const PlacementContext& context, ServerIndex server) {
    const ServerState& state = servers_[server];
    const bool has_limit =
        state.degraded_index && context.fleet.degraded[*state.degraded_index].load_limit.has_value();
    const bool is_heard = !state.connections.empty() || has_limit;
    return !is_heard && context.fleet.is_mostly_slow && random_.uniform() < context.fleet.slow_part;
}

}  // namespace headrouter
