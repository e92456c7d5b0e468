#include "fleet_load/fleet_load_aggregator.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "fleet_load/message_order.h"
#include "fleet_load/mix_bits.h"

namespace headrouter::fleet_load {

using gossip::IndexedLoad;
using gossip::Message;
using gossip::ServerLoad;

namespace {

/// A report that has not changed is repeated after so long, against loss.
constexpr Duration repeat_after = seconds(7);
/// The same until the aggregator has answered, and for a while after a loss was seen: the extra bytes are for
/// the links that need them.
constexpr Duration repeat_unanswered_after = seconds(1);
constexpr Duration loss_remembered = seconds(10);
/// More ticks than this between two headroom messages: one in between was lost.
constexpr uint32_t max_ticks_between_headroom = 10;
/// Headroom that does not come for so many rounds was lost.
constexpr double max_rounds_between_headroom = 1.5;
/// A tick that comes so late means that this process was suspended: what it knows of the others is as old.
constexpr Duration suspended_after = seconds(2);
/// Loads that differ by less count as the same.
constexpr double load_tolerance = 0.1;
/// Weights go into the list's checksum in steps of a sixteenth.
constexpr double checksum_weight_steps = 16;
constexpr int short_id_bits = 12;

bool is_same_load(const ServerLoad& a, const ServerLoad& b) {
    return a.server == b.server && std::abs(a.load - b.load) < load_tolerance;
}

}  // namespace

void FleetLoadAggregator::set_replica(int replica_index, int replica_count) {
    if (replica_index == replica_index_ && replica_count == replica_count_) return;
    replica_index_ = replica_index;
    replica_count_ = replica_count;
    calculator_.forget_reports();
    headroom_.clear();
    election_.reset();
}

bool FleetLoadAggregator::was_suspended(TimePoint now) const {
    return ticked_at_.ns > 0 && now - ticked_at_ > suspended_after;
}

// Weights are part of it: with others, the same headroom would mean another share.
uint32_t FleetLoadAggregator::list_checksum() const {
    uint64_t hash = servers_.size();
    for (const EligibleServer& server : servers_) {
        const auto weight = static_cast<uint64_t>(std::lround(server.weight * checksum_weight_steps));
        hash = mix_bits(hash + server.short_id + (weight << short_id_bits));
    }
    return static_cast<uint32_t>(hash % gossip::list_checksum_modulus);
}

std::vector<OutgoingMessage> FleetLoadAggregator::tick(TimePoint now, TimePoint wall_time,
                                                       const std::vector<IndexedLoad>& own_loads,
                                                       const std::vector<EligibleServer>& servers) {
    if (replica_count_ < 2) return {};
    if (was_suspended(now)) forget_others(now);
    ticked_at_ = now;
    timestamp_ = static_cast<uint32_t>(wall_time.ns / tick_interval.ns % gossip::timestamp_modulus);
    update_servers(servers);
    update_aggregator(now, wall_time);
    std::vector<OutgoingMessage> out;
    report(now, own_loads, out);
    aggregate(now, out);
    return out;
}

void FleetLoadAggregator::forget_others(TimePoint now) {
    calculator_.forget_reports();
    headroom_.clear();
    reported_.clear();
    election_.restart_waiting(now);
}

void FleetLoadAggregator::update_servers(const std::vector<EligibleServer>& servers) {
    const uint32_t checksum_before = list_checksum();
    servers_ = servers;
    std::sort(servers_.begin(), servers_.end(),
              [](const EligibleServer& a, const EligibleServer& b) { return a.short_id < b.short_id; });
    // The checksum has few bits: a list that has grown may have the same one.
    const bool is_outgrown = headroom_.size() < servers_.size();
    if (is_outgrown || list_checksum() != checksum_before) headroom_.clear();
}

// A new aggregator is reported to at once.
void FleetLoadAggregator::update_aggregator(TimePoint now, TimePoint wall_time) {
    if (election_.begin_epoch(now, wall_time)) {
        reported_at_ = TimePoint{};
        calculator_.begin_epoch();
    }
    if (election_.replace_silent(now, headroom_.received_at())) reported_at_ = TimePoint{};
}

std::vector<ServerLoad> FleetLoadAggregator::report_of(const std::vector<IndexedLoad>& own_loads) const {
    std::vector<ServerLoad> rows;
    for (const IndexedLoad& own : own_loads) {
        const auto it = std::find_if(servers_.begin(), servers_.end(), [&](const EligibleServer& server) {
            return server.server == own.server;
        });
        if (it != servers_.end()) rows.push_back({it->short_id, own.load});
    }
    return rows;
}

bool FleetLoadAggregator::is_report_due(TimePoint now, const std::vector<ServerLoad>& rows) {
    const Duration longest_gap = round_time * max_rounds_between_headroom;
    if (has_answered() && now - headroom_.received_at() > longest_gap) loss_at_ = now;
    const bool changed =
        !std::equal(rows.begin(), rows.end(), reported_.begin(), reported_.end(), is_same_load);
    if (changed || reported_at_.ns <= 0) return true;
    const bool saw_loss = loss_at_.ns != 0 && now - loss_at_ <= loss_remembered;
    const bool is_link_sound = has_answered() && !saw_loss;
    return now - reported_at_ >= (is_link_sound ? repeat_after : repeat_unanswered_after);
}

void FleetLoadAggregator::report(TimePoint now, const std::vector<IndexedLoad>& own_loads,
                                 std::vector<OutgoingMessage>& out) {
    std::vector<ServerLoad> rows = report_of(own_loads);
    if (!is_report_due(now, rows)) return;
    reported_ = rows;
    reported_at_ = now;
    const int to = aggregator();
    std::string bytes = gossip::encode_load_report(timestamp_, std::move(rows));
    if (to != replica_index_) {
        out.push_back({to, std::move(bytes)});
        return;
    }
    // The own report takes the same way as the others', so that it is rounded like them.
    if (const auto message = gossip::parse_message(bytes)) on_message(now, replica_index_, *message);
}

void FleetLoadAggregator::on_message(TimePoint now, int from, const Message& message) {
    if (from < 0 || from >= replica_count_ || was_suspended(now)) return;
    if (message.kind == gossip::MessageKind::headroom)
        on_headroom(now, from, message);
    else
        calculator_.on_load_report(now, from, replica_count_, message);
}

void FleetLoadAggregator::on_headroom(TimePoint now, int from, const Message& message) {
    if (from != aggregator() || message.list_checksum != list_checksum()) return;
    if (message.headroom.size() < servers_.size()) return;
    if (from == headroom_.from()) {
        const TimePoint last_at = headroom_.received_at();
        if (!is_newer(message.timestamp, headroom_.timestamp(), now, last_at)) return;
        const uint32_t ticks = ticks_between(headroom_.timestamp(), message.timestamp);
        if (ticks > max_ticks_between_headroom && now - last_at < forget_after) loss_at_ = now;
    }
    headroom_.accept(now, from, message.timestamp, message.headroom, servers_.size());
}

void FleetLoadAggregator::aggregate(TimePoint now, std::vector<OutgoingMessage>& out) {
    const auto headroom = calculator_.compute(now, replica_count_, servers_);
    if (headroom) publish_headroom(now, *headroom, out);
}

void FleetLoadAggregator::publish_headroom(TimePoint now, const std::vector<int>& headroom,
                                           std::vector<OutgoingMessage>& out) {
    const std::string bytes = gossip::encode_headroom(timestamp_, list_checksum(), headroom);
    for (const int to : calculator_.current_reporters(now))
        if (to != replica_index_) out.push_back({to, bytes});
    if (aggregator() != replica_index_) return;
    headroom_.accept(now, replica_index_, timestamp_, headroom, servers_.size());
}

double FleetLoadAggregator::freshness(TimePoint now) const {
    return was_suspended(now) ? 0 : headroom_.freshness(now);
}

std::optional<ServerIndex> FleetLoadAggregator::pick(TimePoint now, double random) {
    if (random >= freshness(now) || headroom_.is_used_up()) return std::nullopt;
    return headroom_.pick((replica_index_ + 0.5) / replica_count_, servers_);
}

}  // namespace headrouter::fleet_load
