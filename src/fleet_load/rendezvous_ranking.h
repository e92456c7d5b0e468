/// Weighted rendezvous hashing: every balancer ranks the servers alike for the same key.
#pragma once
#include <cstdint>
#include <vector>

#include "base/server_index.h"
#include "fleet_load/subset_order.h"

namespace headrouter::fleet_load {

/// The servers as one key prefers them.
struct RendezvousRanking {
    /// By server index: an exponential draw over the server's weight; the lowest is preferred.
    std::vector<double> scores;
    std::vector<ServerIndex> order;  ///< by rising score

    [[nodiscard]] double score_of(ServerIndex server) const { return scores[server.value()]; }
};

/// Extends a ranking, which may be empty, to all of `servers`; scores it has already stay as they are. The
/// key comes as its hash.
void extend_ranking(RendezvousRanking& ranking, uint64_t key_hash,
                    const std::vector<WeightedServer>& servers);

}  // namespace headrouter::fleet_load
