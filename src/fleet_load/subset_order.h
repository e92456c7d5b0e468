/// Deterministic subsetting: orders the servers for each of many balancers so that the load summed over all
/// balancers is even, although they exchange no messages.
///
/// Every server has an arc of one circle, as long as its weight. Each balancer enters the circle at its own
/// position and advances in steps of the golden ratio (a Kronecker sequence; Niederreiter, Random Number
/// Generation and Quasi-Monte Carlo Methods, 1992). The n-th steps of all balancers are spread as evenly as
/// the first ones, so the summed load is more even than with independent draws.
#pragma once
#include <cstdint>
#include <vector>

namespace headrouter::fleet_load {

/// Describes a server by what its position and arc on the circle depend on.
struct WeightedServer {
    uint64_t hash;   ///< of the server's id, so that every balancer has the same order
    double weight;   ///< greater than zero
    bool is_active;  ///< only active servers have an arc of the circle
};

/// Returns each server's threshold: the part of a connection that is added to the server's load before the
/// load is compared with the balancer's share of the server. The server takes a connection while the sum is
/// within the share, so a balancer with n connections uses the servers of the first n steps. `replica_index`
/// is less than `replica_count`.
[[nodiscard]] std::vector<double> subset_thresholds(uint64_t replica_index, int replica_count,
                                                    const std::vector<WeightedServer>& servers);

/// Returns thresholds for balancers that do not know how many they are: independent exponential draws with
/// mean 1, from a hash of the balancer's own index and the server's hash.
[[nodiscard]] std::vector<double> independent_thresholds(uint64_t replica_index,
                                                         const std::vector<WeightedServer>& servers);

}  // namespace headrouter::fleet_load
