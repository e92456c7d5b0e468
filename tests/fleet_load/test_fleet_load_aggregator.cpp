/// Tests load pooling over many replicas that exchange messages in memory: the headroom each replica gets,
/// and the bounded effect of replicas that report falsely, are suspended or are partitioned.
#include <gtest/gtest.h>

#include <cmath>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "base/pcg32.h"
#include "fleet_load/fleet_load_aggregator.h"

using namespace headrouter;
using headrouter::fleet_load::FleetLoadAggregator;

namespace {

/// Simulates replicas that exchange messages through `link`, each with its own load on each server.
struct Fleet {
    static constexpr int servers = 10;
    std::vector<FleetLoadAggregator> aggregators;
    std::vector<std::vector<double>> load;  ///< by replica and server
    std::vector<fleet_load::EligibleServer> endpoints;
    TimePoint now = TimePoint{} + seconds(1000);
    Duration wall_clock_offset{};
    /// Returns the bytes that arrive for a message; empty if the message is lost.
    std::function<std::string(int from, int to, const std::string&)> link =
        [](int, int, const std::string& bytes) { return bytes; };
    std::function<bool(int)> is_suspended = [](int) { return false; };
    uint64_t messages_sent = 0;

    explicit Fleet(int replica_count)
        : aggregators(static_cast<size_t>(replica_count)), load(aggregators.size()) {
        for (size_t replica = 0; replica < aggregators.size(); ++replica) {
            aggregators[replica].set_replica(static_cast<int>(replica), replica_count);
            load[replica].assign(servers, 0);
        }
        for (int k = 0; k < servers; ++k)
            endpoints.push_back({ServerIndex{k}, static_cast<uint32_t>(100 + 7 * k), 1});
    }
    FleetLoadAggregator& aggregator(int replica) { return aggregators[static_cast<size_t>(replica)]; }
    void deliver(int from, const std::vector<fleet_load::OutgoingMessage>& messages) {
        for (const fleet_load::OutgoingMessage& sent : messages) {
            ++messages_sent;
            const std::string bytes = link(from, sent.replica_index, sent.bytes);
            if (is_suspended(sent.replica_index) || bytes.empty()) continue;
            if (const auto message = gossip::parse_message(bytes))
                aggregator(sent.replica_index).on_message(now, from, *message);
        }
    }
    void tick() {
        now = now + FleetLoadAggregator::tick_interval;
        for (size_t replica = 0; replica < aggregators.size(); ++replica) {
            if (is_suspended(static_cast<int>(replica))) continue;
            std::vector<gossip::IndexedLoad> own;
            for (int k = 0; k < servers; ++k) {
                const double own_load = load[replica][static_cast<size_t>(k)];
                if (own_load != 0) own.push_back({ServerIndex{k}, own_load});
            }
            deliver(static_cast<int>(replica),
                    aggregators[replica].tick(now, now + wall_clock_offset, own, endpoints));
        }
    }
    void run_for(Duration duration) {
        const TimePoint end = now + duration;
        while (now < end) tick();
    }
    /// Number of picks by server; the last element counts connections that the replica's own share decides.
    using Picks = std::vector<int>;
    /// Counts the picks for the next `count_each` connections of some replicas, one a second each.
    Picks picks(const std::vector<int>& replicas, int count_each) {
        Picks sum(servers + 1);
        for (int k = 0; k < count_each; ++k) {
            run_for(seconds(1));
            for (const int replica : replicas) {
                const std::optional<ServerIndex> picked = aggregator(replica).pick(now, 0.5);
                ++sum[picked.value_or(ServerIndex{servers}).value()];
            }
        }
        return sum;
    }
    Picks picks(int replica, int count) { return picks(std::vector<int>{replica}, count); }
    Picks picks_of_all(int count_each) {
        std::vector<int> replicas;
        for (int replica = 0; replica < static_cast<int>(aggregators.size()); ++replica)
            replicas.push_back(replica);
        return picks(replicas, count_each);
    }
    /// Opens and closes connections; places each by headroom or, without headroom, at random.
    void run_with_traffic(Duration duration, Pcg32& random, double arrivals_per_tick) {
        const TimePoint end = now + duration;
        while (now < end) {
            tick();
            for (auto& row : load)
                for (double& connections : row)
                    for (int left = static_cast<int>(connections); left > 0; --left)
                        if (random.uniform() < 0.25 / 30) connections -= 1;
            double arrivals = arrivals_per_tick;
            while (arrivals > random.uniform()) {
                arrivals -= 1;
                const auto replica =
                    static_cast<size_t>(random.uniform() * static_cast<double>(aggregators.size()));
                const std::optional<ServerIndex> picked = aggregators[replica].pick(now, random.uniform());
                load[replica][picked ? picked->value() : static_cast<size_t>(random.uniform() * servers)] +=
                    1;
            }
        }
    }
    /// Returns the standard deviation of the servers' loads divided by their mean.
    double variation() const {
        double sum = 0;
        double squares = 0;
        for (int k = 0; k < servers; ++k) {
            double server_load = 0;
            for (const auto& row : load) server_load += row[static_cast<size_t>(k)];
            sum += server_load;
            squares += server_load * server_load;
        }
        return std::sqrt(squares / servers - sum * sum / servers / servers) / (sum / servers);
    }
};

/// Returns 40 replicas with four connections each: server 0 has none, server 1 twice its share.
Fleet make_uneven_fleet() {
    Fleet fleet(40);
    for (size_t replica = 0; replica < 40; ++replica)
        for (size_t n = 0; n < 4; ++n) {
            const size_t server = (replica * 4 + n) % Fleet::servers;
            fleet.load[replica][server == 0 ? 1 : server] += 1;
        }
    return fleet;
}

}  // namespace

TEST(FleetLoadAggregator, PicksFavorTheServerWithMostHeadroomAndAvoidTheFullOne) {
    Fleet fleet = make_uneven_fleet();
    fleet.run_for(seconds(4));
    for (const FleetLoadAggregator& aggregator : fleet.aggregators)
        EXPECT_EQ(aggregator.freshness(fleet.now), 1);
    const auto at = fleet.picks_of_all(10);  // server 0: about three times its share of 400, no more
    EXPECT_EQ(at[1], 0);
    EXPECT_GE(at[0], 90);
    EXPECT_LE(at[0], 140);
}

TEST(FleetLoadAggregator, LoadIsMoreEvenThanRandomWhenTwoInFiveMessagesAreLost) {
    Pcg32 losses(3);
    Fleet lossless(60);
    Fleet lossy(60);
    Fleet disconnected(60);
    lossy.link = [&](int, int, const std::string& bytes) {
        return losses.uniform() < 0.4 ? std::string() : bytes;
    };
    disconnected.link = [](int, int, const std::string&) { return std::string(); };
    double variations[3] = {0, 0, 0};
    Pcg32 traffic[3] = {Pcg32(5), Pcg32(5), Pcg32(5)};
    Fleet* fleets[3] = {&lossless, &lossy, &disconnected};
    for (int k = 0; k < 3; ++k) {
        fleets[k]->run_with_traffic(seconds(60), traffic[k], 2);
        for (int n = 0; n < 60; ++n) {
            fleets[k]->run_with_traffic(seconds(1), traffic[k], 2);
            variations[k] += fleets[k]->variation() / 60;
        }
    }
    const double random_variation = 0.19;  // 24 connections a server
    EXPECT_LT(variations[0], 0.42 * random_variation);
    EXPECT_LT(variations[1], 0.7 * random_variation);
    EXPECT_GT(variations[2], 0.75 * random_variation);
}

TEST(FleetLoadAggregator, PartitionedFleetFindsAnAggregatorInEachHalf) {
    Fleet fleet = make_uneven_fleet();
    fleet.run_for(seconds(3));
    fleet.link = [](int from, int to, const std::string& bytes) {
        return from / 20 == to / 20 ? bytes : std::string();
    };
    fleet.run_for(seconds(20));
    int fresh = 0;
    for (const FleetLoadAggregator& aggregator : fleet.aggregators)
        if (aggregator.freshness(fleet.now) > 0) ++fresh;
    EXPECT_EQ(fresh, 40);
}

TEST(FleetLoadAggregator, PickReturnsNothingWhenAllMessagesAreLost) {
    Fleet fleet = make_uneven_fleet();
    fleet.run_for(seconds(4));
    fleet.link = [](int, int, const std::string&) { return std::string(); };
    fleet.run_for(seconds(26));  // the aggregator's own headroom expires last
    for (FleetLoadAggregator& aggregator : fleet.aggregators) {
        EXPECT_EQ(aggregator.freshness(fleet.now), 0);
        EXPECT_FALSE(aggregator.pick(fleet.now, 0.5));
    }
    fleet.link = [](int, int, const std::string& bytes) { return bytes; };  // all messages arrive again
    fleet.run_for(seconds(12));
    EXPECT_GT(fleet.aggregators[7].freshness(fleet.now), 0);
    Fleet two(2);
    two.run_for(seconds(20));
    EXPECT_GE(two.aggregators[0].freshness(two.now), 0);
}

// Guards against one replica steering all others: first by false load reports, then by false headroom.
TEST(FleetLoadAggregator, FalseReportsAndFalseHeadroomHaveABoundedEffect) {
    for (const double false_load : {1000.0, 0.0}) {
        Fleet fleet = make_uneven_fleet();
        for (int k = 0; k < Fleet::servers; ++k) fleet.load[13][static_cast<size_t>(k)] = false_load;
        fleet.run_for(seconds(6));
        const auto at = fleet.picks_of_all(10);
        // No server gets more than three shares.
        for (size_t k = 0; k < Fleet::servers; ++k) EXPECT_LE(at[k], 140);
    }
    Fleet fleet = make_uneven_fleet();
    fleet.link = [](int, int, const std::string& bytes) {
        const bool is_headroom = bytes[1] == 'r';
        if (!is_headroom) return bytes;
        const auto sent = gossip::parse_message(bytes);
        EXPECT_TRUE(sent);
        std::vector<int> headroom(Fleet::servers);
        headroom[5] = gossip::max_headroom;
        return gossip::encode_headroom(sent.value().timestamp, sent.value().list_checksum, headroom);
    };
    fleet.run_for(seconds(6));
    const auto at = fleet.picks_of_all(10);  // the own share decides the rest
    EXPECT_LE(at[5], 400 * gossip::max_headroom / Fleet::servers + 20);
    EXPECT_GE(at[Fleet::servers], 250);
}

TEST(FleetLoadAggregator, ReplicaIgnoresMessagesRightAfterItWasSuspended) {
    Fleet fleet = make_uneven_fleet();
    fleet.run_for(seconds(6));
    bool is_suspended = true;
    fleet.is_suspended = [&](int replica) { return is_suspended && replica % 4 == 0; };
    fleet.run_for(seconds(20));
    is_suspended = false;
    for (int replica = 0; replica < 40; replica += 4) {
        EXPECT_EQ(fleet.aggregator(replica).freshness(fleet.now), 0u);
        // An old message that was queued in the replica's socket meanwhile.
        const auto old = gossip::parse_message(gossip::encode_headroom(1, 0, std::vector<int>(10, 3)));
        ASSERT_TRUE(old);
        for (int from = 0; from < 40; ++from) fleet.aggregator(replica).on_message(fleet.now, from, *old);
        EXPECT_FALSE(fleet.aggregator(replica).pick(fleet.now, 0.5));
    }
    fleet.run_for(seconds(8));
    int fresh = 0;
    for (const FleetLoadAggregator& aggregator : fleet.aggregators)
        if (aggregator.freshness(fleet.now) > 0) ++fresh;
    EXPECT_EQ(fresh, 40);
}

TEST(FleetLoadAggregator, DuplicatedAndForeignMessagesChangeNothing) {
    Fleet fleet = make_uneven_fleet();
    fleet.link = [&](int from, int to, const std::string& bytes) {
        if (const auto duplicate = gossip::parse_message(bytes))
            fleet.aggregator(to).on_message(fleet.now, from, *duplicate);
        return bytes;
    };
    fleet.run_for(seconds(6));
    // Headroom from replicas that do not aggregate, and for another endpoint list.
    const auto foreign = gossip::parse_message(gossip::encode_headroom(50, 7, std::vector<int>(10, 3)));
    ASSERT_TRUE(foreign);
    for (int from = 0; from < 40; ++from) fleet.aggregators[3].on_message(fleet.now, from, *foreign);
    fleet.aggregators[3].on_message(fleet.now, -1, *foreign);
    fleet.aggregators[3].on_message(fleet.now, 40, *foreign);
    const auto at = fleet.picks(3, 40);
    EXPECT_EQ(at[1], 0);
    EXPECT_GE(at[0], 7);
}

TEST(FleetLoadAggregator, ServerIsNotPickedWhenTwoReplicasReportItDegraded) {
    Fleet fleet = make_uneven_fleet();
    fleet.load[3][4] = gossip::degraded_marker;
    fleet.run_for(seconds(6));
    EXPECT_GT(fleet.picks_of_all(10)[4], 0);
    fleet.load[9][4] = gossip::degraded_marker;
    fleet.run_for(seconds(6));
    EXPECT_EQ(fleet.picks_of_all(10)[4], 0);
    for (size_t k = 1; k < 9; ++k) {
        fleet.load[3][k] = gossip::degraded_marker;
        fleet.load[9][k] = gossip::degraded_marker;
    }
    fleet.run_for(seconds(6));  // nearly all servers are degraded, so degraded ones are picked again
    EXPECT_LT(fleet.picks_of_all(10)[10], 200);
}

TEST(FleetLoadAggregator, FullServerIsNotPickedDespiteDuplicateReplicaIndexOrWrongClock) {
    Fleet fleet = make_uneven_fleet();
    fleet.aggregators[21].set_replica(20, 40);
    fleet.run_for(seconds(8));
    EXPECT_EQ(fleet.picks(5, 30)[1], 0);
    Fleet ahead = make_uneven_fleet();
    ahead.wall_clock_offset = seconds(10);
    ahead.run_for(seconds(8));
    EXPECT_EQ(ahead.picks(5, 30)[1], 0);
}

TEST(FleetLoadAggregator, MessagesPerSecondOfAReplicaDoNotGrowWithTheFleet) {
    for (const int replica_count : {10, 100, 300}) {
        Fleet fleet(replica_count);
        fleet.run_for(seconds(10));
        fleet.messages_sent = 0;
        fleet.run_for(seconds(32));
        EXPECT_LT(static_cast<double>(fleet.messages_sent) / replica_count / 32, 1.6);
    }
}

// Guards against headroom being applied to a longer server list: the checksum has only 64 values, so some
// longer lists have the same checksum.
TEST(FleetLoadAggregator, HeadroomIsDiscardedWhenTheServerListGrows) {
    Fleet fleet = make_uneven_fleet();
    fleet.run_for(seconds(4));
    EXPECT_EQ(fleet.aggregators[3].freshness(fleet.now), 1);
    const TimePoint now = fleet.now + FleetLoadAggregator::tick_interval;
    for (uint32_t short_id = 1000; short_id < 1300; ++short_id) {
        FleetLoadAggregator aggregator = fleet.aggregators[3];
        std::vector<fleet_load::EligibleServer> servers = fleet.endpoints;
        servers.push_back({ServerIndex{Fleet::servers}, short_id, 1});
        (void)aggregator.tick(now, now, {}, servers);
        EXPECT_EQ(aggregator.freshness(now), 0);
        EXPECT_FALSE(aggregator.pick(now, 0.5));
    }
}
