// Tests the state that a balancer keeps from gossip: tallies, rounds, group locations and short ids.
#include <gtest/gtest.h>

#include "gossip/gossip_rounds.h"
#include "gossip/group_locations.h"
#include "gossip/load_tally.h"
#include "gossip/short_server_ids.h"

using namespace headrouter;
using namespace headrouter::gossip;

namespace {
constexpr TimePoint start{1'000'000'000'000};
}  // namespace

TEST(LoadTally, LargestReportCountsAsTheSecondLargest) {
    LoadTally tally;
    tally.add({7, 0, 10, {{ServerIndex{0}, 2}, {ServerIndex{1}, 1}}}, 3);
    tally.add({7, 1, 12, {{ServerIndex{0}, 3}}}, 3);
    tally.add({7, 2, 5000, {{ServerIndex{0}, 1000}, {ServerIndex{2}, 1000}}}, 3);
    EXPECT_EQ(tally.reporter_count(), 3u);
    EXPECT_EQ(tally.total_load(), 10 + 12 + 12);
    const std::vector<IndexedLoad> loads = tally.loads_above(0);
    ASSERT_EQ(loads.size(), 1u);  // a load that only one balancer reports counts as zero
    EXPECT_EQ(loads[0].server, ServerIndex{0});
    EXPECT_EQ(loads[0].load, 2 + 3 + 3);
}

TEST(LoadTally, ReplicaCountsOnceARoundAndANewRoundResetsTheTally) {
    LoadTally tally;
    tally.add({7, 1, 10, {}}, 2);
    tally.add({7, 1, 10, {}}, 2);
    EXPECT_EQ(tally.reporter_count(), 1u);
    tally.add({8, 0, 4, {}}, 2);
    tally.add({8, 1, 4, {}}, 2);
    EXPECT_EQ(tally.reporter_count(), 2u);
    EXPECT_EQ(tally.total_load(), 8);
}

TEST(GossipRounds, LoadWithoutRowIsSpreadByWeight) {
    GossipRounds rounds;
    std::vector<ServerEstimate> servers{{1, true, 0}, {1, true, 0}, {3, true, 0}};
    EXPECT_EQ(rounds.freshness(start), 0);
    EXPECT_TRUE(rounds.on_sum(start, {5, 4, 12, {{ServerIndex{0}, 4}}}, 4, 3, servers));
    EXPECT_EQ(rounds.total_load(), 12);
    EXPECT_EQ(servers[0].pooled_load, 4);
    EXPECT_EQ(servers[1].pooled_load, 2);
    EXPECT_EQ(servers[2].pooled_load, 6);
    EXPECT_EQ(rounds.freshness(start + round_time * 2), 1);
    EXPECT_EQ(rounds.freshness(start + round_time * 4), 0.5);
    EXPECT_EQ(rounds.freshness(start + round_time * 6), 0);
}

TEST(GossipRounds, SumsOfOldRoundsOrTooFewReportersAreIgnored) {
    GossipRounds rounds;
    std::vector<ServerEstimate> servers{{1, true, 0}};
    EXPECT_FALSE(rounds.on_sum(start, {5, 1, 12, {{ServerIndex{0}, 12}}}, 3, 3, servers));
    EXPECT_TRUE(rounds.on_sum(start, {5, 2, 12, {{ServerIndex{0}, 12}}}, 4, 3, servers));
    EXPECT_EQ(rounds.total_load(), 24);  // scaled up to all four replicas
    EXPECT_FALSE(rounds.on_sum(start, {5, 4, 90, {{ServerIndex{0}, 90}}}, 4, 3, servers));
    EXPECT_EQ(servers[0].pooled_load, 24);
}

TEST(GossipRounds, OneSumChangesALoadByABoundedFactor) {
    GossipRounds rounds;
    std::vector<ServerEstimate> servers{{1, true, 10}, {1, true, 10}};
    EXPECT_TRUE(rounds.on_sum(start, {1, 2, 20, {{ServerIndex{0}, 1000}}}, 2, 10, servers));
    EXPECT_EQ(servers[0].pooled_load, 1.5 * 10 + 8);
    EXPECT_TRUE(rounds.on_sum(start + round_time, {2, 2, 0, {}}, 2, 10, servers));
    EXPECT_EQ(rounds.total_load(), 20 / 1.5);
}

TEST(GroupLocations, LocationsOfAGroupAreBounded) {
    GroupLocations locations;
    for (const ServerIndex server : ServerIndexRange{10}) (void)locations.find_or_add(1, server);
    (void)locations.find_or_add(1, ServerIndex{9});
    ASSERT_EQ(locations.locations_of(1).size(), 8u);
    EXPECT_EQ(locations.locations_of(1).front().server, ServerIndex{2});
    locations.remove_server(ServerIndex{5});
    EXPECT_EQ(locations.locations_of(1).size(), 7u);
    EXPECT_TRUE(locations.locations_of(2).empty());
    for (uint32_t group = 0; group < 5000; ++group) (void)locations.find_or_add(group, ServerIndex{0});
    EXPECT_TRUE(locations.locations_of(1).empty());  // too many groups clear all of them
}

TEST(GroupLocations, AnnouncementsAreLimitedByCredit) {
    GroupLocations locations;
    std::vector<GroupPlacement> pending;
    for (uint32_t group = 0; group < 3; ++group) {
        GroupLocation& location = locations.find_or_add(group, ServerIndex{4});
        location.announced_at = start;
        location.announcement_pending = true;
        pending.push_back({group, ServerIndex{4}});
    }
    pending.push_back({0, ServerIndex{4}});  // a duplicate of an earlier entry
    double credit = 25;
    const std::vector<GroupPlacement> taken = locations.take_affordable(pending, credit, 12);
    ASSERT_EQ(taken.size(), 2u);
    EXPECT_EQ(taken[1].group, 1u);
    EXPECT_EQ(credit, 1);
    EXPECT_EQ(locations.locations_of(1)[0].announced_at, start);
    // The credit is used up: this location is announced with the next member.
    EXPECT_EQ(locations.locations_of(2)[0].announced_at, TimePoint{});
    EXPECT_FALSE(locations.locations_of(2)[0].announcement_pending);
}

TEST(ShortServerIds, ShortIdSharedByTwoServersIdentifiesNeither) {
    ShortServerIds ids;
    ids.add("a", ServerIndex{3});
    EXPECT_EQ(ids.find(ShortServerIds::short_id_of("a")), ServerIndex{3});
    std::string other;
    for (int k = 0; other.empty(); ++k) {
        const std::string id = "server" + std::to_string(k);
        if (ShortServerIds::short_id_of(id) == ShortServerIds::short_id_of("a")) other = id;
    }
    ids.add(other, ServerIndex{4});
    EXPECT_FALSE(ids.find(ShortServerIds::short_id_of("a")));
    EXPECT_FALSE(ShortServerIds{}.find(0));
}
