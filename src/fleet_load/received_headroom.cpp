#include "fleet_load/received_headroom.h"

#include <algorithm>
#include <cmath>

#include "fleet_load/message_order.h"

namespace headrouter::fleet_load {

namespace {

/// Age in rounds up to which headroom counts in full, and from which it does not count at all.
constexpr double rounds_fresh = 2;
constexpr double rounds_until_stale = 4;
/// Weight of the latest number of picks in the moving average `usually_picked`.
constexpr double usual_gain = 0.2;
/// Steps of a two-dimensional low-discrepancy sequence (based on the plastic number; Roberts, 2018): one
/// advances with the headroom's timestamp, the other with each pick.
constexpr double timestamp_step = 0.7548776662466927;
constexpr double pick_step = 0.5698402909980532;

double fraction_of(double x) { return x - std::floor(x); }

}  // namespace

void ReceivedHeadroom::accept(TimePoint now, int from, uint32_t timestamp, const std::vector<int>& headroom,
                              size_t server_count) {
    state_.from = from;
    state_.timestamp = timestamp;
    state_.headroom = headroom;
    state_.headroom.resize(server_count);
    state_.received_at = now;
    state_.usually_picked += (state_.picked - state_.usually_picked) * usual_gain;
    state_.picked = 0;
}

double ReceivedHeadroom::freshness(TimePoint now) const {
    if (state_.headroom.empty() || state_.received_at.ns == 0) return 0;
    const double rounds = (now - state_.received_at) / round_time;
    return std::clamp((rounds_until_stale - rounds) / (rounds_until_stale - rounds_fresh), 0.0, 1.0);
}

bool ReceivedHeadroom::is_used_up() const { return state_.picked > 1 + 2 * state_.usually_picked; }

std::optional<ServerIndex> ReceivedHeadroom::pick(double replica_place,
                                                  const std::vector<EligibleServer>& servers) {
    double all_weight = 0;
    double all_headroom = 0;
    for (size_t k = 0; k < servers.size(); ++k) {
        all_weight += servers[k].weight;
        all_headroom += servers[k].weight * state_.headroom[k];
    }
    // The part of the total weight that the headroom does not cover is left to the balancer's own share. An
    // aggregator that falsely gives headroom to a single server so directs to it at most max_headroom times
    // its share.
    const double place =
        fraction_of(replica_place + state_.timestamp * timestamp_step + state_.picked * pick_step);
    ++state_.picked;
    double rest = place * std::max(all_weight, all_headroom);
    for (size_t k = 0; k < servers.size(); ++k) {
        rest -= servers[k].weight * state_.headroom[k];
        if (rest < 0) return servers[k].server;
    }
    return std::nullopt;
}

}  // namespace headrouter::fleet_load
