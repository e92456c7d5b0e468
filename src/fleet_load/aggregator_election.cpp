#include "fleet_load/aggregator_election.h"

#include <algorithm>

#include "fleet_load/mix_bits.h"

namespace headrouter::fleet_load {

namespace {

constexpr Duration epoch_time = seconds(32);
/// A silent aggregator is replaced after so long.
constexpr Duration answer_within = seconds(3.2);
/// One that has answered before is waited for longer: where many datagrams are lost, two headroom messages in
/// a row often are, and a fleet that scatters over many aggregators pools nothing.
constexpr Duration next_answer_within = seconds(7.5);
/// More candidates than an epoch ever has.
constexpr uint64_t candidates_per_epoch = 4096;
/// In place of an epoch before the first.
constexpr int64_t no_epoch = -1;

}  // namespace

bool AggregatorElection::begin_epoch(TimePoint now, TimePoint wall_time) {
    const int64_t epoch = wall_time.ns / epoch_time.ns;
    if (epoch == state_.epoch) return false;
    state_.epoch = epoch;
    state_.candidate = 0;
    state_.last_candidate = initial_last_candidate;
    state_.since = now;
    return true;
}

bool AggregatorElection::replace_silent(TimePoint now, TimePoint headroom_at) {
    const Duration patience = has_answered(headroom_at) ? next_answer_within : answer_within;
    if (now - std::max(state_.since, headroom_at) <= patience) return false;
    ++state_.candidate;
    if (state_.candidate > state_.last_candidate) {  // the first ones again, as they may be back by now
        ++state_.last_candidate;
        state_.candidate = 0;
    }
    state_.since = now;
    return true;
}

// Drawn, not counted up: neighbours by index often are down, or cut off, together.
int AggregatorElection::aggregator(int replica_count) const {
    const auto epoch = static_cast<uint64_t>(state_.epoch.value_or(no_epoch));
    const uint64_t seed = epoch * candidates_per_epoch + static_cast<uint64_t>(state_.candidate);
    return static_cast<int>(mix_bits(seed) % static_cast<uint64_t>(replica_count));
}

}  // namespace headrouter::fleet_load
