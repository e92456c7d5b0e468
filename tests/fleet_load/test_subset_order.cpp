/// Tests deterministic subsetting: how even the load summed over many balancers without gossip is.
#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <string>
#include <vector>

#include "base/hash.h"
#include "fleet_load/rendezvous_ranking.h"
#include "fleet_load/subset_order.h"

using namespace headrouter;
using namespace headrouter::fleet_load;

namespace {

std::vector<WeightedServer> make_servers(int count, double every_fourth_weight = 1) {
    std::vector<WeightedServer> servers;
    for (int k = 0; k < count; ++k)
        servers.push_back(
            {hash_of("server" + std::to_string(k)), k % 4 == 0 ? every_fourth_weight : 1, true});
    return servers;
}

enum class Order { subset, independent };

/// Returns the server that a balancer's next connection goes to.
size_t next_server(const std::vector<WeightedServer>& servers, const std::vector<double>& own_load,
                   const std::vector<double>& thresholds) {
    size_t best = 0;
    double least = 1e300;
    for (size_t k = 0; k < servers.size(); ++k) {
        const double load = (own_load[k] + thresholds[k]) / servers[k].weight;
        if (!servers[k].is_active || load >= least) continue;
        least = load;
        best = k;
    }
    return best;
}

/// Places `connections_of(index)` connections for each balancer. Returns the servers' loads divided by their
/// weights.
std::vector<double> place_connections(int balancers, const std::vector<WeightedServer>& servers,
                                      const std::function<int(int)>& connections_of, Order order) {
    std::vector<double> load(servers.size());
    for (int balancer = 0; balancer < balancers; ++balancer) {
        const auto index = static_cast<uint64_t>(balancer);
        const std::vector<double> thresholds = order == Order::subset
                                                   ? subset_thresholds(index, balancers, servers)
                                                   : independent_thresholds(index, servers);
        std::vector<double> own_load(servers.size());
        for (int left = connections_of(balancer); left > 0; --left) {
            const size_t server = next_server(servers, own_load, thresholds);
            own_load[server] += 1;
            load[server] += 1 / servers[server].weight;
        }
    }
    return load;
}

/// Returns the standard deviation divided by the mean.
double variation(const std::vector<double>& values) {
    double sum = 0;
    double squares = 0;
    for (const double value : values) {
        sum += value;
        squares += value * value;
    }
    const auto count = static_cast<double>(values.size());
    const double mean = sum / count;
    return std::sqrt(std::max(0.0, squares / count - mean * mean)) / mean;
}

int four_each(int) { return 4; }
int uneven_count(int balancer) { return balancer % 8 == 0 ? 16 : balancer % 3; }

}  // namespace

TEST(SubsetOrder, LoadIsFarMoreEvenThanWithIndependentOrders) {
    const double independent =
        variation(place_connections(200, make_servers(30), four_each, Order::independent));
    const double subset = variation(place_connections(200, make_servers(30), four_each, Order::subset));
    EXPECT_GT(independent, 0.12);
    EXPECT_LT(subset, 0.4 * independent);
}

TEST(SubsetOrder, LoadIsMoreEvenWithUnequalWeightsOrUnequalBalancers) {
    EXPECT_LT(variation(place_connections(200, make_servers(30, 8), four_each, Order::subset)),
              0.6 * variation(place_connections(200, make_servers(30, 8), four_each, Order::independent)));
    EXPECT_LT(variation(place_connections(200, make_servers(30), uneven_count, Order::subset)),
              0.8 * variation(place_connections(200, make_servers(30), uneven_count, Order::independent)));
}

TEST(SubsetOrder, LoadIsMoreEvenWhenSomeReplicasAreDead) {
    const auto alive = [](int balancer) { return balancer * 7 % 10 < 6 ? 4 : 0; };
    EXPECT_LT(variation(place_connections(200, make_servers(30), alive, Order::subset)),
              0.8 * variation(place_connections(200, make_servers(30), alive, Order::independent)));
}

TEST(SubsetOrder, RemovedServersGetNoLoadAndTheOthersShareTheirPart) {
    std::vector<WeightedServer> servers = make_servers(12);
    servers[3].is_active = false;
    servers[7].is_active = false;
    const std::vector<double> load = place_connections(120, servers, four_each, Order::subset);
    EXPECT_EQ(load[3], 0);
    EXPECT_EQ(load[7], 0);
    for (size_t k = 0; k < load.size(); ++k) {
        if (!servers[k].is_active) continue;
        EXPECT_GT(load[k], 38);
        EXPECT_LT(load[k], 58);
    }
}

TEST(SubsetOrder, ThresholdsAreFiniteForUnusualWeightsAndIndexes) {
    EXPECT_TRUE(subset_thresholds(0, 1, {}).empty());
    std::vector<WeightedServer> servers = make_servers(3);
    servers[1].weight = 1e-3;
    for (const double threshold : subset_thresholds(9, 3, servers)) {
        EXPECT_GT(threshold, 0);
        EXPECT_TRUE(std::isfinite(threshold));
    }
    for (WeightedServer& server : servers) server.is_active = false;
    EXPECT_EQ(subset_thresholds(1, 3, servers).size(), 3u);
}

TEST(SubsetOrder, RankingKeepsItsScoresWhenServersAreAdded) {
    RendezvousRanking ranking;
    extend_ranking(ranking, 5, make_servers(6));
    const std::vector<double> before = ranking.scores;
    extend_ranking(ranking, 5, make_servers(9));
    EXPECT_EQ(ranking.scores.size(), 9u);
    EXPECT_EQ(ranking.order.size(), 9u);
    EXPECT_TRUE(std::equal(before.begin(), before.end(), ranking.scores.begin()));
    for (size_t k = 1; k < ranking.order.size(); ++k)
        EXPECT_LE(ranking.score_of(ranking.order[k - 1]), ranking.score_of(ranking.order[k]));
}
