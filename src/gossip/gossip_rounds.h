/// The loads of all balancers, summed by one of them in each round (kinds c and s of docs/gossip.md): what is
/// believed of a sum, and for how long. Nothing is sent or placed here.
#pragma once
#include <cstddef>
#include <cstdint>
#include <utility>
#include <vector>

#include "base/time.h"
#include "gossip/load_tally.h"

namespace headrouter::gossip {

/// Rounds are told apart by the wall clock that all balancers share.
constexpr Duration round_time = seconds(5);

/// The loads of a round, summed over balancers.
struct RoundSum {
    int64_t round;
    size_t reporter_count;
    double total_load;  ///< over all servers, also those that have no row
    std::vector<IndexedLoad> loads;
};

/// A server as the balancer knows it, with the load over all balancers that is believed of it.
struct ServerEstimate {
    double weight;
    bool is_active;
    double pooled_load;  ///< in mean load units
};

/// What a balancer keeps between two sums. Not thread-safe.
class GossipRounds {
   public:
    struct State {
        LoadTally tally;
        double total_load = 0;    ///< in mean load units
        TimePoint received_at;    ///< of the latest sum; zero before the first
        int64_t last_round = -1;  ///< of the latest sum; -1 before the first
    };

    [[nodiscard]] const State& state() const { return state_; }
    void restore(State state) { state_ = std::move(state); }

    /// Updates the servers' pooled loads by a sum; `own_load` is this balancer's total, `servers` are by
    /// index. False, with nothing changed, where the sum is of an old round or of too few balancers.
    bool on_sum(TimePoint now, const RoundSum& sum, int replica_count, double own_load,
                std::vector<ServerEstimate>& servers);

    /// The weight that the pooled loads deserve: 1 for two rounds after a sum, then falling to 0.
    [[nodiscard]] double freshness(TimePoint now) const;

    /// The load over all servers and balancers that is believed.
    [[nodiscard]] double total_load() const { return state_.total_load; }

    /// The reports of the round that this balancer sums.
    [[nodiscard]] LoadTally& tally() { return state_.tally; }

   private:
    void update_total(const RoundSum&, int replica_count, double own_load, double scale);

    State state_;
};

}  // namespace headrouter::gossip
