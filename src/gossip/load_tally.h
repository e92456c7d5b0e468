/// Sums of the loads that balancers report to the one that sums a round.
#pragma once
#include <cstddef>
#include <cstdint>
#include <utility>
#include <vector>

#include "base/server_index.h"

namespace headrouter::gossip {

/// The load on a server, in mean load units.
struct IndexedLoad {
    ServerIndex server;
    double load = 0;
};

/// One balancer's loads of a round.
struct RoundReport {
    int64_t round;
    int replica_index;  ///< of the balancer that reports; not negative and below the count of replicas
    double total_load;  ///< over all servers, also those that have no row
    std::vector<IndexedLoad> loads;
};

/// The reports of one round, summed for each server. A balancer that reports a false load must not make a
/// server look full, so of each server the largest report counts as the second largest. Not thread-safe.
class LoadTally {
   public:
    /// A sum in which the largest part counts as the second largest.
    struct RobustSum {
        double sum = 0;
        double largest = 0;
        double second_largest = 0;

        void add(double load);
        [[nodiscard]] double value() const { return sum - largest + second_largest; }
    };

    struct State {
        int64_t round = -1;              ///< of the wall clock; -1 before the first
        std::vector<char> has_reported;  ///< 0 or 1, by replica index
        RobustSum total;
        std::vector<RobustSum> servers;  ///< by server index
    };

    [[nodiscard]] const State& state() const { return state_; }
    void restore(State state) { state_ = std::move(state); }

    /// Adds a report, once for each replica; the first one of another round starts the tally anew.
    void add(const RoundReport&, int replica_count);

    /// How many balancers have reported.
    [[nodiscard]] size_t reporter_count() const;
    /// The total load of all who reported.
    [[nodiscard]] double total_load() const { return state_.total.value(); }
    /// The servers whose load lies above `threshold`, in the order of their indices.
    [[nodiscard]] std::vector<IndexedLoad> loads_above(double threshold) const;

   private:
    State state_;
};

}  // namespace headrouter::gossip
