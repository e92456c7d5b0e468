/// Rendezvous hashing: for each affinity group (or key) an order of the servers that all balancers share.
#pragma once
#include <string>
#include <unordered_map>

#include "fleet_load/rendezvous_ranking.h"
#include "policy/server_table.h"

namespace headrouter {

/// Keeps the rankings of names in use.
class RendezvousRankings {
   public:
    /// The name's ranking of all servers. Valid until the next call.
    const fleet_load::RendezvousRanking& of(const std::string& name, const ServerTable&);

   private:
    friend struct StateAccess;
    static constexpr size_t most_names = 4096;
    std::unordered_map<std::string, fleet_load::RendezvousRanking>
        rankings_;  // looked up only: its order is arbitrary
};

}  // namespace headrouter
