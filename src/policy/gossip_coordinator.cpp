#include "policy/gossip_coordinator.h"

#include <utility>

#include "policy/timers.h"

namespace headrouter {

void GossipCoordinator::configure() {
    aggregator_.set_replica(static_cast<int>(config_.replica_index), config_.replica_count);
    const bool aggregates = config_.gossip_enabled && config_.aggregates_fleet_load;
    if (aggregates && !runs_aggregator_)
        actions_.set_timer(TimePoint{}, timer_token(TimerKind::publish_headroom));
    runs_aggregator_ = aggregates;
    if (config_.gossip_enabled && !runs_rounds_)
        actions_.set_timer(TimePoint{}, timer_token(TimerKind::gossip_round));
    runs_rounds_ = config_.gossip_enabled;
}

void GossipCoordinator::begin_round(TimePoint now) {
    runs_rounds_ = config_.gossip_enabled;
    if (!runs_rounds_) return;
    const int64_t round = round_at(now);
    actions_.set_timer(round_start(round + 1) + counts_within * random_.uniform(),
                       timer_token(TimerKind::gossip_round));
    if (config_.aggregates_fleet_load && !config_.groups) return;  // these counts are for groups
    const int reporter = reporter_of(round);
    if (is_own(reporter))
        return actions_.set_timer(round_start(round) + sum_after, timer_token(TimerKind::gossip_sum));
    const gossip::RoundSum own{round, 1, servers_.total_load(), own_loads()};
    actions_.send_gossip(reporter, encode(gossip::MessageKind::round_counts, own));
}

std::string GossipCoordinator::encode(gossip::MessageKind kind, const gossip::RoundSum& sum) const {
    std::vector<gossip::ServerLoad> loads;
    for (const gossip::IndexedLoad& row : sum.loads)
        loads.push_back({short_id_of(servers_[row.server]), row.load});
    const auto round = static_cast<uint32_t>(sum.round % gossip::round_modulus);
    return gossip::encode_round_loads(kind, round, sum.reporter_count, sum.total_load, loads);
}

void GossipCoordinator::sum_round(TimePoint now) {
    const int64_t round = round_at(now);
    const int own_index = static_cast<int>(config_.replica_index);
    gossip::LoadTally& tally = rounds_.tally();
    tally.add({round, own_index, servers_.total_load(), own_loads()}, config_.replica_count);
    const double total = tally.total_load();
    const double mean = total / std::max(1, servers_.active_count());
    const gossip::RoundSum sum{round, tally.reporter_count(), total,
                               tally.loads_above(mean * named_over_mean)};
    actions_.send_gossip(everyone_else, encode(gossip::MessageKind::round_sum, sum));
    on_round_sum(now, sum);
}

void GossipCoordinator::on_round_sum(TimePoint now, const gossip::RoundSum& sum) {
    std::vector<gossip::ServerEstimate> estimates;
    for (const ServerState& server : servers_.all()) {
        const bool is_active = server.endpoint.state == EndpointState::active;
        estimates.push_back({ServerTable::listed_weight(server), is_active, server.fleet_load});
    }
    if (!rounds_.on_sum(now, sum, config_.replica_count, servers_.total_load(), estimates)) return;
    for (const ServerIndex index : servers_.indexes()) {
        servers_[index].fleet_load = estimates[index.value()].pooled_load;
        servers_[index].own_load_then = servers_.load_on(servers_[index]);
    }
}

void GossipCoordinator::publish_headroom(TimePoint now) {
    if (!runs_aggregator_) return;
    actions_.set_timer(now + fleet_load::FleetLoadAggregator::tick_interval,
                       timer_token(TimerKind::publish_headroom));
    std::vector<gossip::IndexedLoad> own;
    std::vector<fleet_load::EligibleServer> eligible;
    for (const ServerIndex index : servers_.indexes()) {
        const ServerState& server = servers_[index];
        const gossip::ShortServerId short_id = short_id_of(server);
        if (server.endpoint.state != EndpointState::active || short_ids_.find(short_id) != index) continue;
        eligible.push_back({index, short_id, ServerTable::listed_weight(server)});
        const bool troubled = is_troubled(now, server);
        if (troubled || !server.connections.empty())
            own.push_back({index, troubled ? gossip::degraded_marker : servers_.load_on(server)});
    }
    for (const auto& message : aggregator_.tick(now, now + config_.wall_clock_offset, own, eligible))
        actions_.send_gossip(message.replica_index, message.bytes);
}

bool GossipCoordinator::is_troubled(TimePoint now, const ServerState& server) const {
    if (server.outliers.is_failing()) return true;
    if (server.load_limit.is_mild()) return false;
    const std::optional<double> limit = servers_.load_limit(now, server);
    return limit && *limit < std::max(servers_.load_on(server), servers_.full_share(server));
}

bool GossipCoordinator::on_message(TimePoint now, int replica, const std::string& bytes) {
    const bool is_other = replica >= 0 && replica < config_.replica_count && !is_own(replica);
    if (!config_.gossip_enabled || !is_other) return false;
    const std::optional<gossip::Message> message = gossip::parse_message(bytes);
    if (!message) return false;
    for (const gossip::GroupLocationRow& row : message->locations)
        if (const std::optional<ServerIndex> server = short_ids_.find(row.server))
            locations_.find_or_add(row.group, *server) = {*server, now, now, false};
    switch (message->kind) {
        case gossip::MessageKind::group_locations: break;
        case gossip::MessageKind::load_report:
        case gossip::MessageKind::headroom:
            if (config_.aggregates_fleet_load) aggregator_.on_message(now, replica, *message);
            break;
        case gossip::MessageKind::round_counts:
        case gossip::MessageKind::round_sum: on_round_loads(now, replica, *message); break;
    }
    return true;
}

void GossipCoordinator::on_round_loads(TimePoint now, int replica, const gossip::Message& message) {
    const int64_t next_round = round_at(now) + 1;
    int64_t round = next_round - 2;
    while (round <= next_round && round % gossip::round_modulus != message.round) ++round;
    if (round > next_round) return;
    std::vector<gossip::IndexedLoad> loads;
    for (const gossip::ServerLoad& row : message.loads)
        if (const std::optional<ServerIndex> server = short_ids_.find(row.server))
            loads.push_back({*server, row.load});
    const int reporter = reporter_of(round);
    if (message.kind == gossip::MessageKind::round_counts && is_own(reporter))
        rounds_.tally().add({round, replica, message.total_load, loads}, config_.replica_count);
    if (message.kind == gossip::MessageKind::round_sum && reporter == replica)
        on_round_sum(now, {round, message.reporter_count, message.total_load, loads});
}

void GossipCoordinator::on_group_placed(TimePoint now, const std::string& group, ServerIndex server) {
    if (!config_.gossip_enabled || group.empty()) return;
    gossip::GroupLocation& location = locations_.find_or_add(short_hash(group), server);
    if (location.announcement_pending || now - location.announced_at < location_republished) return;
    location.announced_at = now;
    if (is_first_choice(now, group, server)) return;
    location.announcement_pending = true;
    unpublished_.push_back({short_hash(group), server});
    if (publishes_locations_) return;
    publishes_locations_ = true;
    actions_.set_timer(now + location_within * random_.uniform(), timer_token(TimerKind::publish_locations));
}

bool GossipCoordinator::is_first_choice(TimePoint now, const std::string& group, ServerIndex server) {
    for (const ServerIndex index : rankings_.of(group, servers_).order)
        if (ServerTable::is_selectable(now, servers_[index])) return index == server;
    return false;
}

void GossipCoordinator::publish_locations() {
    publishes_locations_ = false;
    const double cost = cost_of_location * (config_.replica_count - 1);
    const std::vector<gossip::GroupPlacement> waiting = std::exchange(unpublished_, {});
    std::vector<gossip::GroupLocationRow> rows;
    for (const auto& [group, server] : locations_.take_affordable(waiting, credit_, cost))
        rows.push_back({group, short_id_of(servers_[server])});
    if (!rows.empty()) actions_.send_gossip(everyone_else, gossip::encode_group_locations(rows));
}

}  // namespace headrouter
