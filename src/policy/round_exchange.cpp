#include "policy/round_exchange.h"

#include <algorithm>
#include <optional>

#include "policy/eligibility.h"
#include "policy/timers.h"

namespace headrouter {

namespace {

/// Upper bound of the random delay between a round's start and the sending of loads.
constexpr Duration max_load_send_delay = seconds(0.1);
/// Delay between a round's start and the sending of the sum.
constexpr Duration sum_delay = seconds(0.25);
/// A sum lists the servers whose load exceeds this multiple of the mean load.
constexpr double listed_mean_multiple = 1.5;

}  // namespace

void RoundExchange::configure() {
    if (config_.gossip_enabled && !state_.has_timer)
        actions_.set_timer(TimePoint{}, timer_token(TimerKind::gossip_round));
    state_.has_timer = config_.gossip_enabled;
}

void RoundExchange::begin_round(TimePoint now) {
    state_.has_timer = config_.gossip_enabled;
    if (!state_.has_timer) return;
    const int64_t round = round_at(now);
    actions_.set_timer(round_start(round + 1) + max_load_send_delay * random_.uniform(),
                       timer_token(TimerKind::gossip_round));
    // If headroom is published, only the placement of groups needs the sums.
    if (config_.aggregates_fleet_load && !config_.groups) return;
    const int reporter = reporter_of(round);
    if (is_own(reporter)) {
        actions_.set_timer(round_start(round) + sum_delay, timer_token(TimerKind::gossip_sum));
        return;
    }
    const gossip::RoundSum own{round, 1, loads_.total(), own_loads()};
    actions_.send_gossip(reporter, encode(gossip::MessageKind::round_counts, own));
}

void RoundExchange::sum_round(TimePoint now) {
    const int64_t round = round_at(now);
    const int own_index = static_cast<int>(config_.replica_index);
    gossip::LoadTally& tally = state_.rounds.tally();
    tally.add({round, own_index, loads_.total(), own_loads()}, config_.replica_count);
    const double total = tally.total_load();
    const double mean = total / std::max(1, servers_.active_count());
    const gossip::RoundSum sum{round, tally.reporter_count(), total,
                               tally.loads_above(mean * listed_mean_multiple)};
    actions_.send_gossip(all_other_replicas, encode(gossip::MessageKind::round_sum, sum));
    on_sum(now, sum);
}

// A message carries its round modulo round_modulus. The round is looked up among the previous, the present
// and the next round.
void RoundExchange::on_loads(TimePoint now, int replica, const gossip::Message& message) {
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
        state_.rounds.tally().add({round, replica, message.total_load, loads}, config_.replica_count);
    if (message.kind == gossip::MessageKind::round_sum && reporter == replica)
        on_sum(now, {round, message.reporter_count, message.total_load, loads});
}

void RoundExchange::on_sum(TimePoint now, const gossip::RoundSum& sum) {
    std::vector<gossip::ServerEstimate> estimates;
    for (const ServerState& server : servers_.all()) {
        const bool is_active = eligibility::takes_new_requests(server.endpoint.state);
        estimates.push_back({ServerTable::listed_weight(server), is_active, server.fleet_load});
    }
    if (!state_.rounds.on_sum(now, sum, config_.replica_count, loads_.total(), estimates)) return;
    for (const ServerIndex index : servers_.indexes()) {
        servers_[index].fleet_load = estimates[index.value()].pooled_load;
        servers_[index].own_load_in_fleet_load = loads_.load_on(servers_[index]);
    }
}

double RoundExchange::trust(TimePoint now) const {
    return config_.gossip_enabled ? state_.rounds.freshness(now) : 0;
}

int64_t RoundExchange::round_at(TimePoint now) const {
    return (now + config_.wall_clock_offset).ns / gossip::round_time.ns;
}

TimePoint RoundExchange::round_start(int64_t round) const {
    return TimePoint{round * gossip::round_time.ns - config_.wall_clock_offset.ns};
}

int RoundExchange::reporter_of(int64_t round) const {
    return static_cast<int>(round % config_.replica_count);
}

bool RoundExchange::is_own(int replica) const { return replica == static_cast<int>(config_.replica_index); }

std::vector<gossip::IndexedLoad> RoundExchange::own_loads() const {
    std::vector<gossip::IndexedLoad> rows;
    for (const ServerIndex index : servers_.indexes())
        if (!servers_[index].connections.empty()) rows.push_back({index, loads_.load_on(servers_[index])});
    return rows;
}

std::string RoundExchange::encode(gossip::MessageKind kind, const gossip::RoundSum& sum) const {
    std::vector<gossip::ServerLoad> loads;
    for (const gossip::IndexedLoad& row : sum.loads) {
        const ServerId& id = servers_[row.server].endpoint.server;
        loads.push_back({gossip::ShortServerIds::short_id_of(id), row.load});
    }
    const auto round = static_cast<uint32_t>(sum.round % gossip::round_modulus);
    return gossip::encode_round_loads(kind, round, sum.reporter_count, sum.total_load, loads);
}

}  // namespace headrouter
