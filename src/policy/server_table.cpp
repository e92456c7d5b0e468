#include "policy/server_table.h"

#include <algorithm>

#include "base/hash.h"
#include "policy/eligibility.h"

namespace headrouter {

namespace {

/// Minimum weight of a server, so that shares stay finite for servers listed without weight.
constexpr double min_weight = 1e-3;

/// A server of another zone loses the fraction (`zone_loss` + `zone_loss_growth` * cost) * cost of its
/// weight, where cost is the configured cost of a request that crosses zones.
constexpr double zone_loss = 8;
constexpr double zone_loss_growth = 15;
/// Minimum fraction of its weight that a server of another zone keeps.
constexpr double min_zone_fraction = 0.02;
/// A server that keeps more than this fraction of its weight is in a near zone.
constexpr double near_zone_fraction = 0.5;

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
    server.weight = zone_adjusted_weight(server);
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
    return server.weight > near_zone_fraction * listed_weight(server);
}

double ServerTable::listed_weight(const ServerState& server) {
    return std::max(server.endpoint.weight, min_weight);
}

double ServerTable::zone_adjusted_weight(const ServerState& server) const {
    const double weight = listed_weight(server);
    if (server.endpoint.zone == config_.zone) return weight;
    const double cost = config_.cross_zone_cost;
    const double lost_fraction = (zone_loss + zone_loss_growth * cost) * cost;
    return weight * std::max(min_zone_fraction, 1 - lost_fraction);
}

}  // namespace headrouter
