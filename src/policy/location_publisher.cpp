#include "policy/location_publisher.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "base/hash.h"
#include "policy/eligibility.h"
#include "policy/timers.h"

namespace headrouter {

namespace {

/// Credit that a new request earns, in bytes summed over all receiving balancers.
constexpr double credit_per_request = 60;
/// Bytes that one location costs for each receiving balancer, including its part of the message's overhead.
constexpr double bytes_per_location = 12;
/// Minimum time between two publications of the same location.
constexpr Duration republish_interval = seconds(60);
/// Upper bound of the random delay before publishing. Short, because many clients can reconnect within a
/// second; random, so that few balancers publish the same location.
constexpr Duration max_publish_delay = seconds(0.05);
/// Time for which a published location counts.
constexpr Duration location_lifetime = seconds(120);

uint32_t short_hash(const std::string& group) {
    return static_cast<uint32_t>(hash_of(group) % gossip::group_modulus);
}

}  // namespace

void LocationPublisher::earn_credit() {
    state_.credit = std::min(state_.credit + credit_per_request, most_credit);
}

void LocationPublisher::on_group_placed(TimePoint now, const std::string& group, ServerIndex server) {
    if (!config_.gossip_enabled || group.empty()) return;
    gossip::GroupLocation& location = state_.locations.find_or_add(short_hash(group), server);
    if (location.announcement_pending || now - location.announced_at < republish_interval) return;
    location.announced_at = now;
    if (is_first_choice(now, group, server)) return;
    location.announcement_pending = true;
    state_.unpublished.push_back({short_hash(group), server});
    if (state_.has_timer) return;
    state_.has_timer = true;
    actions_.set_timer(now + max_publish_delay * random_.uniform(),
                       timer_token(TimerKind::publish_locations));
}

bool LocationPublisher::is_first_choice(TimePoint now, const std::string& group, ServerIndex server) {
    const std::vector<ServerIndex>& order = rankings_.ranking_for(group, servers_).order;
    const auto first = std::find_if(order.begin(), order.end(), [&](ServerIndex index) {
        return eligibility::is_selectable(now, servers_[index]);
    });
    return first != order.end() && *first == server;
}

void LocationPublisher::publish() {
    state_.has_timer = false;
    const double cost = bytes_per_location * (config_.replica_count - 1);
    const std::vector<gossip::GroupPlacement> waiting = std::exchange(state_.unpublished, {});
    std::vector<gossip::GroupLocationRow> rows;
    for (const auto& [group, server] : state_.locations.take_affordable(waiting, state_.credit, cost)) {
        const ServerId& id = servers_[server].endpoint.server;
        rows.push_back({group, gossip::ShortServerIds::short_id_of(id)});
    }
    if (!rows.empty()) actions_.send_gossip(all_other_replicas, gossip::encode_group_locations(rows));
}

void LocationPublisher::on_published(TimePoint now, const std::vector<gossip::GroupLocationRow>& rows) {
    for (const gossip::GroupLocationRow& row : rows) {
        const std::optional<ServerIndex> server = short_ids_.find(row.server);
        if (!server) continue;
        state_.locations.find_or_add(row.group, *server) = {
            .server = *server, .received_at = now, .announced_at = now, .announcement_pending = false};
    }
}

const std::vector<gossip::GroupLocation>& LocationPublisher::locations_of(const std::string& group) const {
    static const std::vector<gossip::GroupLocation> none;
    return config_.gossip_enabled ? state_.locations.locations_of(short_hash(group)) : none;
}

bool LocationPublisher::is_current(TimePoint now, const gossip::GroupLocation& location) {
    const bool is_published = location.received_at.ns > 0;
    return is_published && now - location.received_at < location_lifetime;
}

}  // namespace headrouter
