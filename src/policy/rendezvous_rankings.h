/// Rendezvous hashing: ranks the servers for each affinity group (or key), alike at every balancer.
#pragma once
#include <string>
#include <unordered_map>
#include <utility>

#include "fleet_load/rendezvous_ranking.h"
#include "policy/server_table.h"

namespace headrouter {

/// Caches the rankings of the group names and keys in use.
class RendezvousRankings {
   public:
    /// Rankings by name. Unordered, since they are only looked up.
    using State = std::unordered_map<std::string, fleet_load::RendezvousRanking>;

    [[nodiscard]] const State& state() const { return rankings_; }
    void restore(State state) { rankings_ = std::move(state); }

    /// Returns the name's ranking of all servers. The reference is valid until the next call.
    const fleet_load::RendezvousRanking& ranking_for(const std::string& name, const ServerTable&);

   private:
    static constexpr size_t max_names = 4096;
    State rankings_;
};

}  // namespace headrouter
