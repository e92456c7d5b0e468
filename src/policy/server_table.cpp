#include "policy/server_table.h"

#include <algorithm>

#include "base/hash.h"
#include "policy/eligibility.h"

namespace headrouter {

namespace {

/// What a server counts that is listed without weight, so that shares stay finite.
constexpr double least_weight = 1e-3;

/// A server of another zone loses (`zone_loss` + `zone_loss_growth` * cost) * cost of its weight, where cost
/// is that of a request that crosses zones.
constexpr double zone_loss = 8;
constexpr double zone_loss_growth = 15;
/// The least part of its weight that it keeps.
constexpr double least_zone_part = 0.02;
/// A server that keeps more of its weight than this is in a near zone.
constexpr double near_zone_part = 0.5;

}  // namespace

std::optional<ServerIndex> ServerTable::find(const ServerId& id) const {
    const auto it = state_.index.find(id);
    if (it == state_.index.end()) return std::nullopt;
    return it->second;
}

ServerTable::Applied ServerTable::apply(const Endpoint& endpoint) {
    const auto [it, is_new] = state_.index.emplace(endpoint.server, ServerIndex{size()});
    if (is_new) state_.servers.emplace_back().id_hash = hash_of(endpoint.server);
    ServerState& server = (*this)[it->second];
    const std::optional<TimePoint>& known = server.endpoint.launched;
    const bool is_later = endpoint.launched && (!known || *endpoint.launched > *known);
    server.endpoint = endpoint;
    server.named_in_update = state_.updates;
    server.weight = weight_here(server);
    return {it->second, is_new, !is_new && is_later};
}

void ServerTable::end_update(bool is_whole_list) {
    state_.active_weight = 0;
    state_.active_listed_weight = 0;
    state_.active_count = 0;
    for (ServerState& server : state_.servers) {
        if (is_whole_list && server.named_in_update != state_.updates)
            server.endpoint.state = EndpointState::removed;
        if (!eligibility::takes_new_requests(server.endpoint.state)) continue;
        state_.active_weight += server.weight;
        state_.active_listed_weight += listed_weight(server);
        ++state_.active_count;
    }
}

std::vector<fleet_load::WeightedServer> ServerTable::order_entries() const {
    std::vector<fleet_load::WeightedServer> entries;
    for (const ServerState& server : state_.servers) {
        const bool is_active = eligibility::takes_new_requests(server.endpoint.state);
        entries.push_back({server.id_hash, server.weight, is_active});
    }
    return entries;
}

bool ServerTable::is_in_near_zone(ServerIndex index) const {
    const ServerState& server = (*this)[index];
    return server.weight > near_zone_part * listed_weight(server);
}

double ServerTable::listed_weight(const ServerState& server) {
    return std::max(server.endpoint.weight, least_weight);
}

double ServerTable::weight_here(const ServerState& server) const {
    const double weight = listed_weight(server);
    if (server.endpoint.zone == config_.zone) return weight;
    const double cost = config_.cross_zone_cost;
    const double lost_part = (zone_loss + zone_loss_growth * cost) * cost;
    return weight * std::max(least_zone_part, 1 - lost_part);
}

}  // namespace headrouter
