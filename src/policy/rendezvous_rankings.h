/// Rendezvous hashing: for each affinity group (or key) an order of the servers that all balancers share.
#pragma once
#include <string>
#include <unordered_map>
#include <utility>

#include "fleet_load/rendezvous_ranking.h"
#include "policy/server_table.h"

namespace headrouter {

/// Keeps the rankings of names in use.
class RendezvousRankings {
   public:
    /// By name; looked up only: in no order.
    using State = std::unordered_map<std::string, fleet_load::RendezvousRanking>;

    [[nodiscard]] const State& state() const { return rankings_; }
    void restore(State state) { rankings_ = std::move(state); }

    /// The name's ranking of all servers. Valid until the next call.
    const fleet_load::RendezvousRanking& ranking_for(const std::string& name, const ServerTable&);

   private:
    static constexpr size_t most_names = 4096;
    State rankings_;
};

}  // namespace headrouter
