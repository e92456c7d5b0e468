/// Sums the loads that balancers report to the balancer that sums a round.
#pragma once
#include <cstddef>
#include <cstdint>
#include <utility>
#include <vector>

#include "base/server_index.h"

namespace headrouter::gossip {

/// Holds the load on a server, in mean load units.
struct IndexedLoad {
    ServerIndex server;
    double load = 0;
};

/// Holds one balancer's loads of a round.
struct RoundReport {
    int64_t round;
    int replica_index;  ///< of the reporter; from 0 to the number of replicas less one
    double total_load;  ///< over all servers, including those without a row
    std::vector<IndexedLoad> loads;
};

/// Sums the reports of one round for each server. A balancer that reports a false load must not make a server
/// look full, so each server's largest report counts only as much as the second largest. Not thread-safe.
class LoadTally {
   public:
    /// A sum in which the largest summand counts only as much as the second largest.
    struct RobustSum {
        double sum = 0;
        double largest = 0;
        double second_largest = 0;

        void add(double load);
        [[nodiscard]] double value() const { return sum - largest + second_largest; }
    };

    struct State {
        int64_t round = -1;              ///< numbered by the wall clock; -1 before the first
        std::vector<char> has_reported;  ///< 0 or 1, by replica index
        RobustSum total;
        std::vector<RobustSum> servers;  ///< by server index
    };

    [[nodiscard]] const State& state() const { return state_; }
    void restore(State state) { state_ = std::move(state); }

    /// Adds a report; ignores a replica's further reports of the round. A report of another round resets the
    /// tally first.
    void add(const RoundReport&, int replica_count);

    /// Returns the number of balancers that have reported.
    [[nodiscard]] size_t reporter_count() const;
    /// Returns the total load over all reporters, the largest counted only as much as the second largest.
    [[nodiscard]] double total_load() const { return state_.total.value(); }
    /// Returns the servers whose load exceeds `threshold`, in the order of their indexes.
    [[nodiscard]] std::vector<IndexedLoad> loads_above(double threshold) const;

   private:
    State state_;
};

}  // namespace headrouter::gossip
