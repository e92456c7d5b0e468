#include "policy/gossip_coordinator.h"

#include <utility>

namespace headrouter {

GossipCoordinator::GossipCoordinator(const Parts& parts)
    : config_(parts.config),
      rounds_({parts.config, parts.servers, parts.loads, short_ids_, parts.actions, parts.random}),
      headroom_({parts.config, parts.servers, parts.loads, short_ids_, parts.actions}),
      locations_({parts.config, parts.servers, short_ids_, parts.rankings, parts.actions, parts.random}) {}

void GossipCoordinator::restore(State state) {
    short_ids_ = std::move(state.short_ids);
    rounds_.restore(std::move(state.rounds));
    headroom_.restore(std::move(state.headroom));
    locations_.restore(std::move(state.locations));
}

void GossipCoordinator::configure() {
    headroom_.configure();
    rounds_.configure();
}

bool GossipCoordinator::on_message(TimePoint now, int replica, const std::string& bytes) {
    const bool is_own = replica == static_cast<int>(config_.replica_index);
    const bool is_other = replica >= 0 && replica < config_.replica_count && !is_own;
    if (!config_.gossip_enabled || !is_other) return false;
    const std::optional<gossip::Message> message = gossip::parse_message(bytes);
    if (!message) return false;
    switch (message->kind) {
        case gossip::MessageKind::group_locations: locations_.on_published(now, message->locations); break;
        case gossip::MessageKind::load_report:
        case gossip::MessageKind::headroom: headroom_.on_message(now, replica, *message); break;
        case gossip::MessageKind::round_counts:
        case gossip::MessageKind::round_sum: rounds_.on_loads(now, replica, *message); break;
    }
    return true;
}

}  // namespace headrouter
