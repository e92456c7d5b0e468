// Headroom aggregated over many balancers, message by message, without a socket: what each balancer learns,
// and how little one that reports falsely, is suspended or partitioned can do.
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

struct Fleet {
    static constexpr int servers = 10;
    std::vector<FleetLoadAggregator> aggregators;
    std::vector<std::vector<double>> load;  // by balancer and server
    std::vector<fleet_load::EligibleServer> list;
    TimePoint now = TimePoint{} + seconds(1000);
    Duration wall_clock_offset{};
    // What becomes of a message; empty bytes: it is lost.
    std::function<std::string(int from, int to, const std::string&)> link =
        [](int, int, const std::string& b) { return b; };
    std::function<bool(int)> is_suspended = [](int) { return false; };
    uint64_t messages_sent = 0;

    explicit Fleet(int balancers) : aggregators(static_cast<size_t>(balancers)), load(aggregators.size()) {
        for (size_t b = 0; b < aggregators.size(); ++b) {
            aggregators[b].set_replica(static_cast<int>(b), balancers);
            load[b].assign(servers, 0);
        }
        for (int k = 0; k < servers; ++k)
            list.push_back({ServerIndex{k}, static_cast<uint32_t>(100 + 7 * k), 1});
    }
    void pass(int from, const std::vector<fleet_load::OutgoingMessage>& all) {
        for (const fleet_load::OutgoingMessage& sent : all) {
            ++messages_sent;
            const std::string bytes = link(from, sent.replica_index, sent.bytes);
            if (is_suspended(sent.replica_index) || bytes.empty()) continue;
            if (const auto message = gossip::parse_message(bytes))
                aggregators[static_cast<size_t>(sent.replica_index)].on_message(now, from, *message);
        }
    }
    void tick() {
        now = now + FleetLoadAggregator::tick_interval;
        for (size_t b = 0; b < aggregators.size(); ++b) {
            if (is_suspended(static_cast<int>(b))) continue;
            std::vector<gossip::IndexedLoad> own;
            for (int k = 0; k < servers; ++k)
                if (load[b][static_cast<size_t>(k)] != 0)
                    own.push_back({ServerIndex{k}, load[b][static_cast<size_t>(k)]});
            pass(static_cast<int>(b), aggregators[b].tick(now, now + wall_clock_offset, own, list));
        }
    }
    void run(double s) {
        for (const TimePoint until = now + seconds(s); now < until;) tick();
    }
    // Where the next connections of some balancers would go, one a second each: headroom is for what usually
    // comes. The last element counts those that the own share decides.
    using Picks = std::vector<int>;
    std::vector<Picks> picks(const std::vector<int>& of, int n) {
        std::vector<Picks> all(of.size(), Picks(servers + 1));
        for (int k = 0; k < n; ++k) {
            run(1);
            for (size_t b = 0; b < of.size(); ++b) {
                const std::optional<ServerIndex> picked =
                    aggregators[static_cast<size_t>(of[b])].pick(now, 0.5);
                ++all[b][picked.value_or(ServerIndex{servers}).value()];
            }
        }
        return all;
    }
    Picks picks(int b, int n) { return picks(std::vector<int>{b}, n)[0]; }
    Picks picks_of_all(int n) {
        std::vector<int> everyone;
        for (int b = 0; b < static_cast<int>(aggregators.size()); ++b) everyone.push_back(b);
        Picks sum(servers + 1);
        for (const Picks& c : picks(everyone, n))
            for (size_t k = 0; k < sum.size(); ++k) sum[k] += c[k];
        return sum;
    }
    // Connections come and go by themselves, placed by headroom, else at random by `chance`.
    void run_with_traffic(double s, Pcg32& chance, double arrivals_per_tick) {
        for (const TimePoint until = now + seconds(s); now < until;) {
            tick();
            for (auto& row : load)
                for (double& x : row)
                    for (int n = static_cast<int>(x); n > 0; --n) x -= chance.uniform() < 0.25 / 30;
            double arrivals = arrivals_per_tick;
            while (arrivals > chance.uniform()) {
                arrivals -= 1;
                const auto b =
                    static_cast<size_t>(chance.uniform() * static_cast<double>(aggregators.size()));
                const std::optional<ServerIndex> picked = aggregators[b].pick(now, chance.uniform());
                load[b][picked ? picked->value() : static_cast<size_t>(chance.uniform() * servers)] += 1;
            }
        }
    }
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

// 40 balancers hold four each: server 0 has none, server 1 twice its share.
Fleet uneven() {
    Fleet f(40);
    for (size_t b = 0; b < 40; ++b)
        for (size_t n = 0; n < 4; ++n) {
            const size_t k = (b * 4 + n) % Fleet::servers;
            f.load[b][k == 0 ? 1 : k] += 1;
        }
    return f;
}

}  // namespace

TEST(FleetLoadAggregator, AllTurnToTheServerThatLacksMostAndNoneToTheFullOne) {
    Fleet f = uneven();
    f.run(4);
    for (const FleetLoadAggregator& p : f.aggregators) EXPECT_EQ(p.freshness(f.now), 1);
    const auto at = f.picks_of_all(10);  // three times its part of 400, and no herd
    EXPECT_EQ(at[1], 0);
    EXPECT_GE(at[0], 90);
    EXPECT_LE(at[0], 140);
}

TEST(FleetLoadAggregator, AFleetThatLivesIsEvenerThanDiceAndStaysSoWhenTwoInFiveAreLost) {
    Pcg32 other(3);
    Fleet sound(60), lossy(60), mute(60);
    lossy.link = [&](int, int, const std::string& b) { return other.uniform() < 0.4 ? std::string() : b; };
    mute.link = [](int, int, const std::string&) { return std::string(); };
    double variations[3] = {0, 0, 0};
    Pcg32 traffic[3] = {Pcg32(5), Pcg32(5), Pcg32(5)};
    Fleet* fleets[3] = {&sound, &lossy, &mute};
    for (int k = 0; k < 3; ++k) {
        fleets[k]->run_with_traffic(60, traffic[k], 2);
        for (int n = 0; n < 60; ++n) {
            fleets[k]->run_with_traffic(1, traffic[k], 2);
            variations[k] += fleets[k]->variation() / 60;
        }
    }
    const double dice = 0.19;  // 24 connections a server
    EXPECT_LT(variations[0], 0.42 * dice);
    EXPECT_LT(variations[1], 0.7 * dice);
    EXPECT_GT(variations[2], 0.75 * dice);
}

TEST(FleetLoadAggregator, WhoeverHearsNothingTurnsToTheNextAndEachHalfOfASplitPoolsAlone) {
    Fleet f = uneven();
    f.run(3);
    f.link = [](int from, int to, const std::string& b) { return from / 20 == to / 20 ? b : std::string(); };
    f.run(20);
    int fresh = 0;
    for (const FleetLoadAggregator& p : f.aggregators) fresh += p.freshness(f.now) > 0;
    EXPECT_EQ(fresh, 40);
}

TEST(FleetLoadAggregator, OneAloneAndMessagesGoneFadeToTheOwnShare) {
    Fleet f = uneven();
    f.run(4);
    f.link = [](int, int, const std::string&) { return std::string(); };
    f.run(26);  // the aggregator forgets last
    for (int b = 0; b < 40; ++b)
        EXPECT_TRUE(f.aggregators[static_cast<size_t>(b)].freshness(f.now) == 0 &&
                    !f.aggregators[static_cast<size_t>(b)].pick(f.now, 0.5));
    f.link = [](int, int, const std::string& b) { return b; };  // back at one instant
    f.run(12);
    EXPECT_GT(f.aggregators[7].freshness(f.now), 0);
    Fleet two(2);
    two.run(20);
    EXPECT_GE(two.aggregators[0].freshness(two.now), 0);
}

// False load reports move nobody much; a false aggregator moves no more than three shares.
TEST(FleetLoadAggregator, OneThatLiesIsBounded) {
    for (const double lie : {1000.0, 0.0}) {
        Fleet f = uneven();
        for (int k = 0; k < Fleet::servers; ++k) f.load[13][static_cast<size_t>(k)] = lie;
        f.run(6);
        const auto at = f.picks_of_all(10);
        // Where nothing arrives a few too many weigh most: even so no server gets more than three shares.
        for (size_t k = 0; k < Fleet::servers; ++k) EXPECT_LE(at[k], 140);
    }
    Fleet f = uneven();
    f.link = [](int, int, const std::string& b) {
        if (b[1] != 'r') return b;
        const auto sent = gossip::parse_message(b);
        EXPECT_TRUE(sent);
        std::vector<int> headroom(Fleet::servers);
        headroom[5] = gossip::max_headroom;
        return gossip::encode_headroom(sent.value().timestamp, sent.value().list_checksum, headroom);
    };
    f.run(6);
    const auto at = f.picks_of_all(10);  // the own share has the rest
    EXPECT_LE(at[5], 400 * gossip::max_headroom / Fleet::servers + 20);
    EXPECT_GE(at[Fleet::servers], 250);
}

TEST(FleetLoadAggregator, OneThatSleptDoubtsItselfFirst) {
    Fleet f = uneven();
    f.run(6);
    bool sleeps = true;
    f.is_suspended = [&](int b) { return sleeps && b % 4 == 0; };
    f.run(20);
    sleeps = false;
    for (int b = 0; b < 40; b += 4) {
        EXPECT_EQ(f.aggregators[static_cast<size_t>(b)].freshness(f.now), 0u);
        // What waited for it in its socket.
        const auto old = gossip::parse_message(gossip::encode_headroom(1, 0, std::vector<int>(10, 3)));
        ASSERT_TRUE(old);
        for (int from = 0; from < 40; ++from)
            f.aggregators[static_cast<size_t>(b)].on_message(f.now, from, *old);
        EXPECT_TRUE(!f.aggregators[static_cast<size_t>(b)].pick(f.now, 0.5));
    }
    f.run(8);
    int fresh = 0;
    for (const FleetLoadAggregator& p : f.aggregators) fresh += p.freshness(f.now) > 0;
    EXPECT_EQ(fresh, 40);
}

TEST(FleetLoadAggregator, DoubledLateAndForeignMessagesChangeNothing) {
    Fleet f = uneven();
    f.link = [&](int from, int to, const std::string& b) {
        if (const auto twice = gossip::parse_message(b))
            f.aggregators[static_cast<size_t>(to)].on_message(f.now, from, *twice);
        return b;
    };
    f.run(6);
    // Headroom of one that is not the aggregator, or for another list.
    const auto read = gossip::parse_message(gossip::encode_headroom(50, 7, std::vector<int>(10, 3)));
    ASSERT_TRUE(read);
    for (int from = 0; from < 40; ++from) f.aggregators[3].on_message(f.now, from, *read);
    f.aggregators[3].on_message(f.now, -1, *read);
    f.aggregators[3].on_message(f.now, 40, *read);
    const auto at = f.picks(3, 40);
    EXPECT_EQ(at[1], 0);
    EXPECT_GE(at[0], 7);
}

TEST(FleetLoadAggregator, AServerThatTwoMetBadGetsNothingAndOneAloneSaysLittle) {
    Fleet f = uneven();
    f.load[3][4] = gossip::degraded_marker;
    f.run(6);
    EXPECT_GT(f.picks_of_all(10)[4], 0);
    f.load[9][4] = gossip::degraded_marker;
    f.run(6);
    EXPECT_EQ(f.picks_of_all(10)[4], 0);
    for (size_t k = 1; k < 9; ++k) f.load[3][k] = f.load[9][k] = gossip::degraded_marker;
    f.run(6);  // said of nearly all: no ground to shun any
    EXPECT_LT(f.picks_of_all(10)[10], 200);
}

TEST(FleetLoadAggregator, TwoWithOneNumberAndAWrongClockDoNoHarm) {
    Fleet f = uneven();
    f.aggregators[21].set_replica(20, 40);
    f.run(8);
    EXPECT_EQ(f.picks(5, 30)[1], 0);
    Fleet off = uneven();
    off.wall_clock_offset = seconds(10);
    off.run(8);
    EXPECT_EQ(off.picks(5, 30)[1], 0);
}

TEST(FleetLoadAggregator, WhatIsToldASecondIsBoundedHoweverManyThereAre) {
    for (const int n : {10, 100, 300}) {
        Fleet f(n);
        f.run(10);
        f.messages_sent = 0;
        f.run(32);
        EXPECT_TRUE(static_cast<double>(f.messages_sent) / n / 32 < 1.6);
    }
}

// The list's checksum has 64 values, so that some of the servers that join leave it as it is.
TEST(FleetLoadAggregator, HeadroomForAShorterListIsDropped) {
    Fleet f = uneven();
    f.run(4);
    EXPECT_EQ(f.aggregators[3].freshness(f.now), 1);
    const TimePoint now = f.now + FleetLoadAggregator::tick_interval;
    for (uint32_t short_id = 1000; short_id < 1300; ++short_id) {
        FleetLoadAggregator aggregator = f.aggregators[3];
        std::vector<fleet_load::EligibleServer> servers = f.list;
        servers.push_back({ServerIndex{Fleet::servers}, short_id, 1});
        (void)aggregator.tick(now, now, {}, servers);
        EXPECT_EQ(aggregator.freshness(now), 0);
        EXPECT_FALSE(aggregator.pick(now, 0.5));
    }
}
