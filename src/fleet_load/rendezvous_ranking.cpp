#include "fleet_load/rendezvous_ranking.h"

#include <algorithm>
#include <cmath>
#include <cstddef>

#include "base/pcg32.h"

namespace headrouter::fleet_load {

void extend_ranking(RendezvousRanking& ranking, uint64_t key_hash,
                    const std::vector<WeightedServer>& servers) {
    std::vector<double>& scores = ranking.scores;
    while (scores.size() < servers.size()) {
        const WeightedServer& server = servers[scores.size()];
        ranking.order.emplace_back(scores.size());
        scores.push_back(-std::log(Pcg32(key_hash, server.hash).uniform()) / server.weight);
    }
    std::sort(ranking.order.begin(), ranking.order.end(),
              [&](ServerIndex a, ServerIndex b) { return ranking.score_of(a) < ranking.score_of(b); });
}

}  // namespace headrouter::fleet_load
