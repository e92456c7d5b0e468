// Tests the failover table and the group table.
#include <gtest/gtest.h>

#include <string>

#include "affinity/failover_table.h"
#include "affinity/group_table.h"

using namespace headrouter;

namespace {
constexpr TimePoint start{1'000'000'000'000};
}

TEST(FailoverTable, FindsLatestServerOfKeyForThirtySeconds) {
    FailoverTable table;
    table.record(start, "k", ServerIndex{1}, false);
    table.record(start + seconds(1), "k", ServerIndex{2}, true);
    const FailoverTable::Entry* entry = table.find(start + seconds(31), "k");
    ASSERT_NE(entry, nullptr);
    EXPECT_EQ(entry->server, ServerIndex{2});
    EXPECT_TRUE(entry->is_parked);
    EXPECT_EQ(table.find(start + millis(31'001), "k"), nullptr);
    EXPECT_EQ(table.find(start, "other"), nullptr);
}

TEST(FailoverTable, NewEntryOfKeySurvivesExpiryOfOldOne) {
    FailoverTable table;
    table.record(start, "k", ServerIndex{1}, false);
    table.record(start + seconds(20), "k", ServerIndex{2}, false);
    table.record(start + seconds(31), "other", ServerIndex{3},
                 false);  // drops entries older than half a minute
    EXPECT_NE(table.find(start + seconds(31), "k"), nullptr);
}

TEST(FailoverTable, RequestWithoutKeyIsNotRecorded) {
    FailoverTable table;
    table.record(start, "", ServerIndex{1}, false);
    EXPECT_EQ(table.find(start, ""), nullptr);
}

TEST(GroupTable, CountsMembersByServer) {
    GroupTable table;
    table.add("g", ServerIndex{3});
    table.add("g", ServerIndex{1});
    table.add("g", ServerIndex{3});
    table.add("h", ServerIndex{3});
    EXPECT_EQ(table.members_on("g", ServerIndex{3}), 2);
    EXPECT_EQ(table.members_of("g"), 3);
    ASSERT_EQ(table.servers_of("g").size(), 2u);
    EXPECT_EQ(table.servers_of("g").front().server, ServerIndex{3});
    table.remove("g", ServerIndex{3});
    table.remove("g", ServerIndex{3});
    EXPECT_EQ(table.members_on("g", ServerIndex{3}), 0);
    EXPECT_EQ(table.servers_of("g").size(), 1u);
    EXPECT_EQ(table.members_of("unknown"), 0);
}

TEST(GroupTable, SizeUncertaintyFallsWithPairsInSameGroup) {
    GroupTable apart;
    GroupTable together;
    for (int k = 0; k < 20; ++k) {
        apart.add("g" + std::to_string(k), ServerIndex{k});
        together.add("g", ServerIndex{k});
    }
    EXPECT_DOUBLE_EQ(apart.size_uncertainty(), 230);  // 190 pairs of connections, none in the same group
    EXPECT_DOUBLE_EQ(together.size_uncertainty(), 230 / 191.0);  // all 190 in the same group
    for (int k = 0; k < 20; ++k) together.remove("g", ServerIndex{k});
    EXPECT_DOUBLE_EQ(together.size_uncertainty(), 40);
}
