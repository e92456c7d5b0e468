/// Ranks servers by weighted rendezvous hashing: every balancer gets the same ranking for the same key.
#pragma once
#include <cstdint>
#include <vector>

#include "base/server_index.h"
#include "fleet_load/subset_order.h"

namespace headrouter::fleet_load {

/// Holds the ranking of the servers for one key.
struct RendezvousRanking {
    /// By server index: an exponential draw divided by the server's weight; the lowest is preferred.
    std::vector<double> scores;
    std::vector<ServerIndex> order;  ///< by ascending score

    [[nodiscard]] double score_of(ServerIndex server) const { return scores[server.value()]; }
};

/// Extends a ranking, which may be empty, to all of `servers`; existing scores stay unchanged. `key_hash` is
/// the hash of the key.
void extend_ranking(RendezvousRanking& ranking, uint64_t key_hash,
                    const std::vector<WeightedServer>& servers);

}  // namespace headrouter::fleet_load
