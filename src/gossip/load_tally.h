/// Sums of the loads that balancers report to the one that sums a round.
#pragma once
#include <cstddef>
#include <cstdint>
#include <vector>

#include "base/server_index.h"

namespace headrouter {

struct ComponentStateAccess;

namespace gossip {

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
    /// Adds a report, once for each replica; the first one of another round starts the tally anew.
    void add(const RoundReport&, int replica_count);

    /// How many balancers have reported.
    [[nodiscard]] size_t reporter_count() const;
    /// The total load of all who reported.
    [[nodiscard]] double total_load() const { return total_.value(); }
    /// The servers whose load lies above `threshold`, in the order of their indices.
    [[nodiscard]] std::vector<IndexedLoad> loads_above(double threshold) const;

   private:
    friend struct headrouter::ComponentStateAccess;

    class RobustSum {
       public:
        void add(double load);
        [[nodiscard]] double value() const { return sum_ - largest_ + second_largest_; }

       private:
        friend struct headrouter::ComponentStateAccess;
        double sum_ = 0;
        double largest_ = 0;
        double second_largest_ = 0;
    };

    int64_t round_ = -1;
    std::vector<char> has_reported_;  // by replica index
    RobustSum total_;
    std::vector<RobustSum> servers_;  // by server index
};

}  // namespace gossip
}  // namespace headrouter
