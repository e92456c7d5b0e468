#include "policy/rendezvous_rankings.h"

#include "base/hash.h"

namespace headrouter {

const fleet_load::RendezvousRanking& RendezvousRankings::ranking_for(const std::string& name,
                                                                     const ServerTable& servers) {
    // Bounds the cache: rankings are computed again when they are needed.
    if (rankings_.size() >= max_names && !rankings_.contains(name)) rankings_.clear();
    fleet_load::RendezvousRanking& ranking = rankings_[name];
    if (ranking.scores.size() < servers.size())
        fleet_load::extend_ranking(ranking, hash_of(name), servers.order_entries());
    return ranking;
}

}  // namespace headrouter
