#include "fleet_load/aggregator_election.h"

#include <algorithm>

#include "fleet_load/mix_bits.h"

namespace headrouter::fleet_load {

namespace {

constexpr Duration epoch_time = seconds(32);
/// An aggregator that has not answered yet is replaced after this time.
constexpr Duration first_answer_timeout = seconds(3.2);
/// An aggregator that has answered before gets more time: on links that lose many datagrams, two consecutive
/// headroom messages are often lost, and a fleet scattered over many aggregators does not pool its loads.
constexpr Duration next_answer_timeout = seconds(7.5);
/// Seeds reserved for each epoch, one for each candidate; no epoch has as many candidates.
constexpr uint64_t candidates_per_epoch = 4096;
/// Stands in for the epoch before the first epoch begins.
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
    const Duration timeout = has_answered(headroom_at) ? next_answer_timeout : first_answer_timeout;
    if (now - std::max(state_.since, headroom_at) <= timeout) return false;
    ++state_.candidate;
    if (state_.candidate > state_.last_candidate) {  // starts over: the first candidates may have recovered
        ++state_.last_candidate;
        state_.candidate = 0;
    }
    state_.since = now;
    return true;
}

// Draws the candidate at random instead of counting up: replicas with adjacent indexes often fail, or become
// unreachable, together.
int AggregatorElection::aggregator(int replica_count) const {
    const auto epoch = static_cast<uint64_t>(state_.epoch.value_or(no_epoch));
    const uint64_t seed = epoch * candidates_per_epoch + static_cast<uint64_t>(state_.candidate);
    return static_cast<int>(mix_bits(seed) % static_cast<uint64_t>(replica_count));
}

}  // namespace headrouter::fleet_load
