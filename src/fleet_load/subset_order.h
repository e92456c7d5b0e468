/// Deterministic subsetting: the order in which each of many balancers uses the servers, so that the sum over
/// all is even though none sends another a message.
///
/// All servers lie on one circle, each with an arc as long as its weight. Each balancer enters the circle at
/// a place of its own and goes round in steps of the golden ratio (a Kronecker sequence; Niederreiter, Random
/// Number Generation and Quasi-Monte Carlo Methods, 1992). The n-th steps of all balancers lie as evenly as
/// the first ones, so their sum is more even than that of independent draws.
#pragma once
#include <cstdint>
#include <vector>

namespace headrouter::fleet_load {

struct WeightedServer {
    uint64_t hash;   ///< of the server's id: the same order at every balancer
    double weight;   ///< over zero
    bool is_active;  ///< only active servers have an arc of the circle
};

/// For each server, the part of a connection that is counted against the balancer's share of it: the server
/// takes a connection while its load and that part stay within the share. With n connections in all these are
/// the servers of the first n steps. `replica_index` lies below
/// `replica_count`.
[[nodiscard]] std::vector<double> subset_thresholds(uint64_t replica_index, int replica_count,
                                                    const std::vector<WeightedServer>& servers);

/// The same where balancers do not know how many they are: independent draws, exponential with mean 1, from a
/// hash of the own index and the server's.
[[nodiscard]] std::vector<double> independent_thresholds(uint64_t replica_index,
                                                         const std::vector<WeightedServer>& servers);

}  // namespace headrouter::fleet_load
