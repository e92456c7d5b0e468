#include "policy/headroom_publisher.h"

#include <algorithm>
#include <vector>

#include "policy/eligibility.h"
#include "policy/timers.h"

namespace headrouter {

void HeadroomPublisher::configure() {
    state_.aggregator.set_replica(static_cast<int>(config_.replica_index), config_.replica_count);
    const bool is_enabled = config_.gossip_enabled && config_.aggregates_fleet_load;
    if (is_enabled && !state_.has_timer)
        actions_.set_timer(TimePoint{}, timer_token(TimerKind::publish_headroom));
    state_.has_timer = is_enabled;
}

void HeadroomPublisher::publish(TimePoint now) {
    if (!state_.has_timer) return;
    actions_.set_timer(now + fleet_load::FleetLoadAggregator::tick_interval,
                       timer_token(TimerKind::publish_headroom));
    std::vector<gossip::IndexedLoad> own;
    std::vector<fleet_load::EligibleServer> eligible;
    for (const ServerIndex index : servers_.indexes()) {
        const ServerState& server = servers_[index];
        const gossip::ShortServerId short_id = gossip::ShortServerIds::short_id_of(server.endpoint.server);
        // A short id that two servers share identifies neither of them.
        const bool has_unique_short_id = short_ids_.find(short_id) == index;
        if (!has_unique_short_id || !eligibility::takes_new_requests(server.endpoint.state)) continue;
        eligible.push_back({index, short_id, ServerTable::listed_weight(server)});
        if (reports_as_degraded(now, server))
            own.push_back({index, gossip::degraded_marker});
        else if (!server.connections.empty())
            own.push_back({index, loads_.load_on(server)});
    }
    for (const auto& message : state_.aggregator.tick(now, now + config_.wall_clock_offset, own, eligible))
        actions_.send_gossip(message.replica_index, message.bytes);
}

void HeadroomPublisher::on_message(TimePoint now, int replica, const gossip::Message& message) {
    if (config_.aggregates_fleet_load) state_.aggregator.on_message(now, replica, message);
}

bool HeadroomPublisher::reports_as_degraded(TimePoint now, const ServerState& server) const {
    if (server.outliers.is_failing()) return true;
    if (server.load_limit.has_steady_low_latency()) return false;
    const std::optional<double> limit = loads_.load_limit(now, server);
    return limit && *limit < std::max(loads_.load_on(server), loads_.full_share(server));
}

}  // namespace headrouter
