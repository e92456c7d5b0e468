#include "fleet_load/fleet_load_aggregator.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <utility>

#include "gossip/gossip_message.h"

namespace headrouter::fleet_load {

using gossip::IndexedLoad;
using gossip::Message;
using gossip::ServerLoad;

namespace {

/// How often headroom is sent. Half of it is its age on average, which bounds how even the fleet can be
/// (docs/fleet-load.md has the curve); each message costs its bytes at every balancer.
constexpr Duration round_time = millis(1750);
/// A report that has not changed is repeated after so long, against loss; one not repeated is forgotten.
constexpr Duration repeat_after = seconds(7), forget_after = seconds(16);
/// Until the aggregator has answered, and for a while after a loss was seen, reports are repeated more often:
/// the extra bytes are for the links that need them.
constexpr Duration repeat_unanswered_after = seconds(1), loss_remembered = seconds(10);
/// From when there are enough reporters to the first aggregation, so that it is of all and not of the
/// earliest.
constexpr Duration gather_time = millis(600);
/// Headroom counts in full for so many rounds, and not at all after so many.
constexpr double rounds_fresh = 2, rounds_until_stale = 4;
/// A silent aggregator is replaced after so long; one that has answered before is waited for longer: with two
/// in five datagrams lost, two headroom messages in a row often are, and a fleet that scatters over many
/// aggregators pools nothing.
constexpr Duration answer_within = seconds(3.2), next_answer_within = seconds(7.5);
/// The first candidates of an epoch that are tried; one more each time that all of them were silent.
constexpr int initial_last_candidate = 3;
/// More ticks than this between two headroom messages: one in between was lost.
constexpr uint32_t max_ticks_between_headroom = 10;
/// One aggregator at the most for so long, so that none serves, or reports falsely, for ever.
constexpr Duration epoch_time = seconds(32);
/// A tick that comes so late means that this process was suspended: what it knows of the others is as old.
constexpr Duration suspended_after = seconds(2);
/// Two others and this one: what a single balancer reports moves nobody.
constexpr int min_reporters = 3;
/// A server that so many found slow or failing gets nothing more, unless more than this part of the fleet is.
constexpr int min_degraded_reports = 2;
constexpr double max_degraded_fraction = 0.25;
/// A load that is not told (of a degraded server), in mean load units.
constexpr double degraded_load = 1;
/// Loads that differ by less count as the same.
constexpr double load_tolerance = 0.1;
/// One report counts at the most so many connections as new at a server.
constexpr double max_arrivals_per_row = 4;
/// Beyond twice the second largest report of a server and so much, the largest one is not believed.
constexpr double outlier_slack = 2;
/// Where hardly anything comes, a fraction of a connection too few or too many does not matter.
constexpr double min_expected_arrivals = 0.5;
/// How fast the usual number of picks follows.
constexpr double usual_gain = 0.2;
/// Weights go into the list's checksum in steps of a sixteenth.
constexpr double checksum_weight_steps = 16;
/// Keeps quotients finite where no server has a weight.
constexpr double least_weight = 1e-9;
/// More candidates than an epoch ever has.
constexpr uint64_t candidates_per_epoch = 4096;
/// The steps of two sequences that together fill a square evenly (of the plastic number; Roberts, 2018): one
/// moves with the headroom's timestamp, the other with each pick.
constexpr double timestamp_step = 0.7548776662466927, pick_step = 0.5698402909980532;

double fraction_of(double x) { return x - std::floor(x); }

/// The finalizer of SplitMix64 (Steele et al., 2014).
uint64_t mix_bits(uint64_t x) {
    x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
    x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
    return x ^ (x >> 31);
}

uint32_t ticks_between(uint32_t earlier, uint32_t later) {
    return (later - earlier) % gossip::timestamp_modulus;
}

/// Whether a message is newer than the last one. Late, doubled and reordered ones are not; after a long gap
/// any is.
bool is_newer(uint32_t timestamp, uint32_t last_timestamp, TimePoint now, TimePoint last_at) {
    const uint32_t ahead = ticks_between(last_timestamp, timestamp);
    return now - last_at > forget_after || (ahead > 0 && ahead < gossip::timestamp_modulus / 2);
}

bool is_same_load(const ServerLoad& a, const ServerLoad& b) {
    return a.server == b.server && std::abs(a.load - b.load) < load_tolerance;
}

double load_in_report(const std::vector<ServerLoad>& loads, gossip::ShortServerId server) {
    const auto it =
        std::find_if(loads.begin(), loads.end(), [&](const ServerLoad& row) { return row.server == server; });
    return it == loads.end() ? 0 : std::max(0.0, it->load);
}

}  // namespace

/// A server's load over all reporters.
struct FleetLoadAggregator::ServerTotal {
    double sum = 0, largest = 0, second_largest = 0;
    int degraded_reports = 0;

    void add(double reported) {
        const bool is_degraded = reported < 0;
        const double load = is_degraded ? degraded_load : reported;
        degraded_reports += is_degraded ? 1 : 0;
        sum += load;
        second_largest = std::max(second_largest, std::min(largest, load));
        largest = std::max(largest, load);
    }
    /// The largest report counts for little more than the second, so that one false report makes no server
    /// look full.
    void discount_outlier() { sum -= std::max(0.0, largest - 2 * second_largest - outlier_slack); }
    [[nodiscard]] bool is_degraded() const { return degraded_reports >= min_degraded_reports; }
};

struct FleetLoadAggregator::FleetTotals {
    int reporters = 0;
    std::map<gossip::ShortServerId, ServerTotal> servers;
};

void FleetLoadAggregator::set_replica(int replica_index, int replica_count) {
    if (replica_index == replica_index_ && replica_count == replica_count_) return;
    replica_index_ = replica_index;
    replica_count_ = replica_count;
    reporters_.clear();
    headroom_.clear();
    epoch_ = -1;
}

bool FleetLoadAggregator::was_suspended(TimePoint now) const {
    return ticked_at_.ns > 0 && now - ticked_at_ > suspended_after;
}

bool FleetLoadAggregator::Reporter::is_current(TimePoint now) const {
    return received_at.ns > 0 && now - received_at <= forget_after;
}

// Drawn from the epoch and the candidate's number, not counted up: neighbours by index often are down, or cut
// off, together.
int FleetLoadAggregator::aggregator() const {
    const uint64_t seed =
        static_cast<uint64_t>(epoch_) * candidates_per_epoch + static_cast<uint64_t>(candidate_);
    return static_cast<int>(mix_bits(seed) % static_cast<uint64_t>(replica_count_));
}

// Weights are part of it: with others, the same headroom would mean another share.
uint32_t FleetLoadAggregator::list_checksum() const {
    uint64_t hash = servers_.size();
    for (const EligibleServer& server : servers_) {
        const auto weight = static_cast<uint64_t>(std::lround(server.weight * checksum_weight_steps));
        hash = mix_bits(hash + server.short_id + (weight << 12));
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
    const int64_t epoch = wall_time.ns / epoch_time.ns;
    if (epoch != epoch_) begin_epoch(now, epoch);
    replace_silent_aggregator(now);
    std::vector<OutgoingMessage> out;
    report(now, own_loads, out);
    aggregate(now, out);
    return out;
}

void FleetLoadAggregator::forget_others(TimePoint now) {
    reporters_.clear();
    headroom_.clear();
    reported_.clear();
    aggregator_since_ = now;
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

void FleetLoadAggregator::begin_epoch(TimePoint now, int64_t epoch) {
    epoch_ = epoch;
    candidate_ = 0;
    last_candidate_ = initial_last_candidate;
    aggregator_since_ = now;
    reported_at_ = TimePoint{};
    enough_reporters_at_ = TimePoint{};
    reporters_.clear();  // who still has this balancer for its aggregator reports again
}

void FleetLoadAggregator::replace_silent_aggregator(TimePoint now) {
    const Duration patience = has_answered() ? next_answer_within : answer_within;
    if (now - std::max(aggregator_since_, headroom_at_) <= patience) return;
    ++candidate_;
    if (candidate_ > last_candidate_) {  // the first ones again, as they may be back by now
        ++last_candidate_;
        candidate_ = 0;
    }
    aggregator_since_ = now;
    reported_at_ = TimePoint{};
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
    if (has_answered() && now - headroom_at_ > round_time * 1.5) loss_at_ = now;
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
        on_load_report(now, from, message);
}

void FleetLoadAggregator::on_headroom(TimePoint now, int from, const Message& message) {
    if (from != aggregator() || message.list_checksum != list_checksum()) return;
    if (message.headroom.size() < servers_.size()) return;
    if (from == headroom_from_) {
        if (!is_newer(message.timestamp, headroom_timestamp_, now, headroom_at_)) return;
        const bool was_late =
            ticks_between(headroom_timestamp_, message.timestamp) > max_ticks_between_headroom;
        if (was_late && now - headroom_at_ < forget_after) loss_at_ = now;
    }
    headroom_from_ = from;
    headroom_timestamp_ = message.timestamp;
    accept_headroom(now, message.headroom);
}

void FleetLoadAggregator::accept_headroom(TimePoint now, const std::vector<int>& headroom) {
    headroom_ = headroom;
    headroom_.resize(servers_.size());
    headroom_at_ = now;
    usually_picked_ += (picked_ - usually_picked_) * usual_gain;
    picked_ = 0;
}

void FleetLoadAggregator::on_load_report(TimePoint now, int from, const Message& message) {
    reporters_.resize(static_cast<size_t>(replica_count_));
    Reporter& reporter = reporters_[static_cast<size_t>(from)];
    const bool is_first = reporter.received_at.ns <= 0;
    if (!is_first && !is_newer(message.timestamp, reporter.timestamp, now, reporter.received_at)) return;
    // Of one not heard before, or not for long, nothing is known to be new.
    if (!is_first && now - reporter.received_at < forget_after) count_arrivals(now, reporter, message.loads);
    reporter.received_at = now;
    reporter.timestamp = message.timestamp;
    reporter.loads = message.loads;
}

void FleetLoadAggregator::count_arrivals(TimePoint now, const Reporter& reporter,
                                         const std::vector<ServerLoad>& loads) {
    for (const ServerLoad& row : loads) {
        const double before = load_in_report(reporter.loads, row.server);
        if (row.load > before) arrivals_.add(now, std::min(row.load - before, max_arrivals_per_row));
    }
}

FleetLoadAggregator::FleetTotals FleetLoadAggregator::sum_reports(TimePoint now) const {
    FleetTotals totals;
    for (const Reporter& reporter : reporters_) {
        if (!reporter.is_current(now)) continue;
        ++totals.reporters;
        for (const ServerLoad& row : reporter.loads) totals.servers[row.server].add(row.load);
    }
    return totals;
}

bool FleetLoadAggregator::may_aggregate(TimePoint now, int reporters) {
    if (reporters < std::min(min_reporters, replica_count_)) {
        enough_reporters_at_ = TimePoint{};
        return false;
    }
    if (enough_reporters_at_.ns == 0) enough_reporters_at_ = now;
    return now - enough_reporters_at_ >= gather_time;
}

void FleetLoadAggregator::aggregate(TimePoint now, std::vector<OutgoingMessage>& out) {
    if (now - aggregated_at_ < round_time) return;
    FleetTotals totals = sum_reports(now);
    if (!may_aggregate(now, totals.reporters)) return;
    for (const EligibleServer& server : servers_) totals.servers[server.short_id].discount_outlier();
    const std::vector<int> headroom = headroom_for(now, totals);
    aggregated_at_ = now;
    publish_headroom(now, headroom, out);
}

// Of each server, what it should get of the connections of the next round: its share by weight, and what its
// load lacks to the mean.
std::vector<int> FleetLoadAggregator::headroom_for(TimePoint now, const FleetTotals& totals) {
    double fleet_load = 0;
    double fleet_weight = 0;
    int degraded = 0;
    for (const EligibleServer& server : servers_) {
        const ServerTotal& total = totals.servers.at(server.short_id);
        fleet_load += total.sum;
        fleet_weight += server.weight;
        degraded += total.is_degraded() ? 1 : 0;
    }
    const bool avoids_degraded = degraded <= max_degraded_fraction * static_cast<double>(servers_.size());
    // Arrivals are counted over four seconds at the most, and from the first enough reporters on.
    const double counted_seconds = std::clamp(to_seconds(now - enough_reporters_at_), 1.0, 4.0);
    const double arrivals = arrivals_.sum(now) / counted_seconds * to_seconds(round_time);

    std::vector<int> headroom;
    double rounding = 0;  // carried from server to server, so that the rounded parts add up
    for (const EligibleServer& server : servers_) {
        const ServerTotal& total = totals.servers.at(server.short_id);
        const double share = server.weight / std::max(fleet_weight, least_weight);
        const double wanted =
            1 + (fleet_load * share - total.sum) / std::max(arrivals * share, min_expected_arrivals);
        const bool is_avoided = avoids_degraded && total.is_degraded();
        const double exact = is_avoided ? 0 : std::clamp(wanted, 0.0, 1.0 * gossip::max_headroom);
        const int rounded =
            std::clamp(static_cast<int>(std::lround(exact + rounding)), 0, gossip::max_headroom);
        rounding = std::clamp(rounding + exact - rounded, -0.5, 0.5);
        headroom.push_back(rounded);
    }
    return headroom;
}

void FleetLoadAggregator::publish_headroom(TimePoint now, const std::vector<int>& headroom,
                                           std::vector<OutgoingMessage>& out) {
    const std::string bytes = gossip::encode_headroom(timestamp_, list_checksum(), headroom);
    for (size_t k = 0; k < reporters_.size(); ++k) {
        const int to = static_cast<int>(k);
        if (to != replica_index_ && reporters_[k].is_current(now)) out.push_back({to, bytes});
    }
    if (aggregator() != replica_index_) return;
    headroom_from_ = replica_index_;
    headroom_timestamp_ = timestamp_;
    accept_headroom(now, headroom);
}

double FleetLoadAggregator::freshness(TimePoint now) const {
    if (headroom_.empty() || headroom_at_.ns == 0 || was_suspended(now)) return 0;
    const double rounds = (now - headroom_at_) / round_time;
    return std::clamp((rounds_until_stale - rounds) / (rounds_until_stale - rounds_fresh), 0.0, 1.0);
}

std::optional<ServerIndex> FleetLoadAggregator::pick(TimePoint now, double random) {
    if (random >= freshness(now) || picked_ > 1 + 2 * usually_picked_) return std::nullopt;
    double all_weight = 0;
    double all_headroom = 0;
    for (size_t k = 0; k < servers_.size(); ++k) {
        all_weight += servers_[k].weight;
        all_headroom += servers_[k].weight * headroom_[k];
    }
    // What the headroom leaves of all weight is the own share's to place: an aggregator that falsely gives
    // headroom to one server only moves to it no more than max_headroom times its share.
    const double place = fraction_of((replica_index_ + 0.5) / replica_count_ +
                                     headroom_timestamp_ * timestamp_step + picked_ * pick_step);
    ++picked_;
    double rest = place * std::max(all_weight, all_headroom);
    for (size_t k = 0; k < servers_.size(); ++k) {
        rest -= servers_[k].weight * headroom_[k];
        if (rest < 0) return servers_[k].server;
    }
    return std::nullopt;
}

}  // namespace headrouter::fleet_load
