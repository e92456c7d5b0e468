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

/// Interval at which an unchanged report is repeated, in case the last one was lost.
constexpr Duration report_repeat_interval = seconds(7);
/// Shorter interval, in use until the aggregator has answered and for `loss_memory_time` after a loss was
/// detected: only links that lose messages cost the extra bytes.
constexpr Duration lossy_report_repeat_interval = seconds(1);
constexpr Duration loss_memory_time = seconds(10);
/// A larger gap between the timestamps of two headroom messages means that one in between was lost.
constexpr uint32_t max_ticks_between_headroom = 10;
/// A headroom message that has not arrived after this many rounds was lost.
constexpr double max_rounds_between_headroom = 1.5;
/// A longer gap between ticks means that this process was suspended, so its data from other balancers is as
/// old.
constexpr Duration suspension_threshold = seconds(2);
/// Loads that differ by less are treated as equal, in mean load units.
constexpr double load_tolerance = 0.1;
/// The list's checksum includes weights rounded to a sixteenth.
constexpr double checksum_weight_steps = 16;
constexpr int short_id_bits = 12;

bool is_same_load(const ServerLoad& a, const ServerLoad& b) {
    return a.server == b.server && std::abs(a.load - b.load) < load_tolerance;
}

}  // namespace

void FleetLoadAggregator::set_replica(int replica_index, int replica_count) {
    if (replica_index == state_.replica_index && replica_count == state_.replica_count) return;
    state_.replica_index = replica_index;
    state_.replica_count = replica_count;
    state_.calculator.forget_reports();
    state_.headroom.clear();
    state_.election.reset();
}

bool FleetLoadAggregator::was_suspended(TimePoint now) const {
    return state_.ticked_at.ns > 0 && now - state_.ticked_at > suspension_threshold;
}

// The checksum includes weights, as the same headroom with other weights would mean other shares.
uint32_t FleetLoadAggregator::list_checksum() const {
    uint64_t hash = state_.servers.size();
    for (const EligibleServer& server : state_.servers) {
        const auto weight = static_cast<uint64_t>(std::lround(server.weight * checksum_weight_steps));
        hash = mix_bits(hash + server.short_id + (weight << short_id_bits));
    }
    return static_cast<uint32_t>(hash % gossip::list_checksum_modulus);
}

std::vector<OutgoingMessage> FleetLoadAggregator::tick(TimePoint now, TimePoint wall_time,
                                                       const std::vector<IndexedLoad>& own_loads,
                                                       const std::vector<EligibleServer>& servers) {
    if (state_.replica_count < 2) return {};
    if (was_suspended(now)) forget_others(now);
    state_.ticked_at = now;
    state_.timestamp = static_cast<uint32_t>(wall_time.ns / tick_interval.ns % gossip::timestamp_modulus);
    update_servers(servers);
    update_aggregator(now, wall_time);
    std::vector<OutgoingMessage> out;
    report(now, own_loads, out);
    aggregate(now, out);
    return out;
}

void FleetLoadAggregator::forget_others(TimePoint now) {
    state_.calculator.forget_reports();
    state_.headroom.clear();
    state_.reported.clear();
    state_.election.restart_waiting(now);
}

void FleetLoadAggregator::update_servers(const std::vector<EligibleServer>& servers) {
    const uint32_t checksum_before = list_checksum();
    state_.servers = servers;
    std::sort(state_.servers.begin(), state_.servers.end(),
              [](const EligibleServer& a, const EligibleServer& b) { return a.short_id < b.short_id; });
    // The checksum has only 6 bits, so a list that has grown may have the same checksum as before.
    const bool is_outgrown = state_.headroom.size() < state_.servers.size();
    if (is_outgrown || list_checksum() != checksum_before) state_.headroom.clear();
}

// Clearing `reported_at` makes the next report due at once, so that a new aggregator gets one.
void FleetLoadAggregator::update_aggregator(TimePoint now, TimePoint wall_time) {
    if (state_.election.begin_epoch(now, wall_time)) {
        state_.reported_at = TimePoint{};
        state_.calculator.begin_epoch();
    }
    if (state_.election.replace_silent(now, state_.headroom.received_at())) state_.reported_at = TimePoint{};
}

std::vector<ServerLoad> FleetLoadAggregator::report_of(const std::vector<IndexedLoad>& own_loads) const {
    std::vector<ServerLoad> rows;
    for (const IndexedLoad& own : own_loads) {
        const auto it =
            std::find_if(state_.servers.begin(), state_.servers.end(),
                         [&](const EligibleServer& server) { return server.server == own.server; });
        if (it != state_.servers.end()) rows.push_back({it->short_id, own.load});
    }
    return rows;
}

bool FleetLoadAggregator::is_report_due(TimePoint now, const std::vector<ServerLoad>& rows) {
    const Duration longest_gap = round_time * max_rounds_between_headroom;
    if (has_answered() && now - state_.headroom.received_at() > longest_gap) state_.loss_at = now;
    const bool changed =
        !std::equal(rows.begin(), rows.end(), state_.reported.begin(), state_.reported.end(), is_same_load);
    if (changed || state_.reported_at.ns <= 0) return true;
    const bool saw_loss = state_.loss_at.ns != 0 && now - state_.loss_at <= loss_memory_time;
    const bool is_link_reliable = has_answered() && !saw_loss;
    return now - state_.reported_at >=
           (is_link_reliable ? report_repeat_interval : lossy_report_repeat_interval);
}

void FleetLoadAggregator::report(TimePoint now, const std::vector<IndexedLoad>& own_loads,
                                 std::vector<OutgoingMessage>& out) {
    std::vector<ServerLoad> rows = report_of(own_loads);
    if (!is_report_due(now, rows)) return;
    state_.reported = rows;
    state_.reported_at = now;
    const int to = aggregator();
    std::string bytes = gossip::encode_load_report(state_.timestamp, std::move(rows));
    if (to != state_.replica_index) {
        out.push_back({to, std::move(bytes)});
        return;
    }
    // The own report is encoded and parsed like those of other replicas, so that it is rounded alike.
    if (const auto message = gossip::parse_message(bytes)) on_message(now, state_.replica_index, *message);
}

void FleetLoadAggregator::on_message(TimePoint now, int from, const Message& message) {
    if (from < 0 || from >= state_.replica_count || was_suspended(now)) return;
    if (message.kind == gossip::MessageKind::headroom)
        on_headroom(now, from, message);
    else
        state_.calculator.on_load_report(now, from, state_.replica_count, message);
}

void FleetLoadAggregator::on_headroom(TimePoint now, int from, const Message& message) {
    if (from != aggregator() || message.list_checksum != list_checksum()) return;
    if (message.headroom.size() < state_.servers.size()) return;
    if (from == state_.headroom.from()) {
        const TimePoint last_at = state_.headroom.received_at();
        if (!is_newer(message.timestamp, state_.headroom.timestamp(), now, last_at)) return;
        const uint32_t ticks = ticks_between(state_.headroom.timestamp(), message.timestamp);
        if (ticks > max_ticks_between_headroom && now - last_at < message_lifetime) state_.loss_at = now;
    }
    state_.headroom.accept(now, from, message.timestamp, message.headroom, state_.servers.size());
}

void FleetLoadAggregator::aggregate(TimePoint now, std::vector<OutgoingMessage>& out) {
    const auto headroom = state_.calculator.compute(now, state_.replica_count, state_.servers);
    if (headroom) publish_headroom(now, *headroom, out);
}

void FleetLoadAggregator::publish_headroom(TimePoint now, const std::vector<int>& headroom,
                                           std::vector<OutgoingMessage>& out) {
    const std::string bytes = gossip::encode_headroom(state_.timestamp, list_checksum(), headroom);
    for (const int to : state_.calculator.current_reporters(now))
        if (to != state_.replica_index) out.push_back({to, bytes});
    if (aggregator() != state_.replica_index) return;
    state_.headroom.accept(now, state_.replica_index, state_.timestamp, headroom, state_.servers.size());
}

double FleetLoadAggregator::freshness(TimePoint now) const {
    return was_suspended(now) ? 0 : state_.headroom.freshness(now);
}

std::optional<ServerIndex> FleetLoadAggregator::pick(TimePoint now, double random) {
    if (random >= freshness(now) || state_.headroom.is_used_up()) return std::nullopt;
    return state_.headroom.pick((state_.replica_index + 0.5) / state_.replica_count, state_.servers);
}

}  // namespace headrouter::fleet_load
