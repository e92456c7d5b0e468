// Deterministic subsetting: what its order makes of the sum over many balancers that exchange no message.
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

std::vector<WeightedServer> some_servers(int count, double heavy = 1) {
    std::vector<WeightedServer> servers;
    for (int k = 0; k < count; ++k)
        servers.push_back({hash_of("server" + std::to_string(k)), k % 4 == 0 ? heavy : 1, true});
    return servers;
}

enum class Order { subset, independent };

// The server that the next connection of a balancer goes to.
size_t next_server(const std::vector<WeightedServer>& servers, const std::vector<double>& own_load,
                   const std::vector<double>& thresholds) {
    size_t best = 0;
    double least = 1e300;
    for (size_t k = 0; k < servers.size(); ++k) {
        const double over = (own_load[k] + thresholds[k]) / servers[k].weight;
        if (!servers[k].is_active || over >= least) continue;
        least = over;
        best = k;
    }
    return best;
}

// Each balancer places as many connections as `connections_of` its index; the servers' loads over their
// weights.
std::vector<double> placed(int balancers, const std::vector<WeightedServer>& servers,
                           const std::function<int(int)>& connections_of, Order order) {
    std::vector<double> load(servers.size());
    for (int b = 0; b < balancers; ++b) {
        const auto index = static_cast<uint64_t>(b);
        const std::vector<double> thresholds = order == Order::subset
                                                   ? subset_thresholds(index, balancers, servers)
                                                   : independent_thresholds(index, servers);
        std::vector<double> own_load(servers.size());
        for (int n = connections_of(b); n > 0; --n) {
            const size_t server = next_server(servers, own_load, thresholds);
            own_load[server] += 1;
            load[server] += 1 / servers[server].weight;
        }
    }
    return load;
}

// Standard deviation over mean.
double variation(const std::vector<double>& values) {
    double sum = 0;
    double squares = 0;
    for (const double x : values) {
        sum += x;
        squares += x * x;
    }
    const auto count = static_cast<double>(values.size());
    const double mean = sum / count;
    return std::sqrt(std::max(0.0, squares / count - mean * mean)) / mean;
}

int four(int) { return 4; }
int uneven(int balancer) { return balancer % 8 == 0 ? 16 : balancer % 3; }

}  // namespace

TEST(SubsetOrder, TheSumIsFarMoreEvenThanOfIndependentDraws) {
    const double independent = variation(placed(200, some_servers(30), four, Order::independent));
    const double subset = variation(placed(200, some_servers(30), four, Order::subset));
    EXPECT_GT(independent, 0.12);
    EXPECT_LT(subset, 0.4 * independent);
}

TEST(SubsetOrder, WeightsDifferByEightAndSomeBalancersGetMost) {
    EXPECT_LT(variation(placed(200, some_servers(30, 8), four, Order::subset)),
              0.6 * variation(placed(200, some_servers(30, 8), four, Order::independent)));
    EXPECT_LT(variation(placed(200, some_servers(30), uneven, Order::subset)),
              0.8 * variation(placed(200, some_servers(30), uneven, Order::independent)));
}

TEST(SubsetOrder, NumbersHaveHolesWhereBalancersAreDead) {
    const auto alive = [](int b) { return b * 7 % 10 < 6 ? 4 : 0; };
    EXPECT_LT(variation(placed(200, some_servers(30), alive, Order::subset)),
              0.8 * variation(placed(200, some_servers(30), alive, Order::independent)));
}

TEST(SubsetOrder, WhatIsGoneHasNoPartAndTheRestShareIt) {
    std::vector<WeightedServer> servers = some_servers(12);
    servers[3].is_active = servers[7].is_active = false;
    const std::vector<double> load = placed(120, servers, four, Order::subset);
    EXPECT_EQ(load[3], 0);
    EXPECT_EQ(load[7], 0);
    for (size_t k = 0; k < load.size(); ++k)
        EXPECT_TRUE(!servers[k].is_active || (load[k] > 38 && load[k] < 58));
}

TEST(SubsetOrder, OddWeightsAndNumbersAreBounded) {
    EXPECT_TRUE(subset_thresholds(0, 1, {}).empty());
    std::vector<WeightedServer> servers = some_servers(3);
    servers[1].weight = 1e-3;
    for (const double threshold : subset_thresholds(9, 3, servers))
        EXPECT_TRUE(threshold > 0 && std::isfinite(threshold));
    servers[0].is_active = servers[1].is_active = servers[2].is_active = false;
    EXPECT_EQ(subset_thresholds(1, 3, servers).size(), 3u);
}

TEST(SubsetOrder, ANameSDrawGoesOnWhereServersJoin) {
    RendezvousRanking ranking;
    extend_ranking(ranking, 5, some_servers(6));
    const std::vector<double> before = ranking.scores;
    extend_ranking(ranking, 5, some_servers(9));
    EXPECT_EQ(ranking.scores.size(), 9u);
    EXPECT_EQ(ranking.order.size(), 9u);
    EXPECT_TRUE(std::equal(before.begin(), before.end(), ranking.scores.begin()));
    for (size_t k = 1; k < ranking.order.size(); ++k)
        EXPECT_LE(ranking.score_of(ranking.order[k - 1]), ranking.score_of(ranking.order[k]));
}
