/// Estimates server loads over all balancers from the sum that one of them publishes in each round (kinds c
/// and s of docs/gossip.md), bounding how far and for how long a sum is trusted. Sends and places nothing.
#pragma once
#include <cstddef>
#include <cstdint>
#include <utility>
#include <vector>

#include "base/time.h"
#include "gossip/load_tally.h"

namespace headrouter::gossip {

/// Length of a round. Rounds are numbered by the wall clock that all balancers share.
constexpr Duration round_time = seconds(5);

/// Holds the loads of a round, summed over balancers.
struct RoundSum {
    int64_t round;
    size_t reporter_count;
    double total_load;  ///< over all servers, including those without a row
    std::vector<IndexedLoad> loads;
};

/// Holds what this balancer knows of a server, with the estimate of its load over all balancers.
struct ServerEstimate {
    double weight;
    bool is_active;
    double pooled_load;  ///< in mean load units
};

/// Tracks pooled loads from round to round. Not thread-safe.
class GossipRounds {
   public:
    struct State {
        LoadTally tally;
        double total_load = 0;    ///< in mean load units
        TimePoint received_at;    ///< when the latest sum arrived; zero before the first
        int64_t last_round = -1;  ///< round of the latest sum; -1 before the first
    };

    [[nodiscard]] const State& state() const { return state_; }
    void restore(State state) { state_ = std::move(state); }

    /// Updates the servers' pooled loads from a sum; `own_load` is this balancer's total, `servers` is
    /// ordered by server index. Returns false, with nothing changed, if the sum is of an old round or of too
    /// few balancers.
    bool on_sum(TimePoint now, const RoundSum& sum, int replica_count, double own_load,
                std::vector<ServerEstimate>& servers);

    /// Returns the weight to give the pooled loads: 1 for two rounds after a sum, then falling to 0.
    [[nodiscard]] double freshness(TimePoint now) const;

    /// Returns the estimated load over all servers and balancers, in mean load units.
    [[nodiscard]] double total_load() const { return state_.total_load; }

    /// Returns the reports of the round that this balancer sums.
    [[nodiscard]] LoadTally& tally() { return state_.tally; }

   private:
    void update_total(const RoundSum&, int replica_count, double own_load, double scale);

    State state_;
};

}  // namespace headrouter::gossip
