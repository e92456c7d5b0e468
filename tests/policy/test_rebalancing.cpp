// Tests rebalance cycles, protected keys and ejection at the end of a cycle.
#include "policy_helpers.h"

TEST(Rebalancing, FirstCycleStartsAtClockMultipleWhateverTheStartTime) {
    RecordingActions actions;
    const TimePoint started = cycle_start + seconds(3.7);
    BalancingPolicy policy(make_config(), 1, actions, started);
    EXPECT_EQ(actions.timers.at(0).due, cycle_start + seconds(10));
}

TEST(Rebalancing, DrainsASixthOfLargestExcessWhenServerIsSaturated) {
    auto&& [actions, policy, inspector] = PolicyFixture({make_endpoint("a"), make_endpoint("b")});
    adopt_connections(policy, cycle_start, "a", 1, 40);
    adopt_connections(policy, cycle_start, "b", 100, 4);
    inspector.plan_migrations(cycle_start);
    EXPECT_EQ(inspector.surplus("a"), 3);  // a sixth of its excess of 18
    EXPECT_EQ(inspector.surplus("b"), 0);
    EXPECT_FALSE(inspector.is_draining("b"));
    inspector.end_drain("a");
    adopt_connections(policy, cycle_start, "b", 200, 17);  // excess of 9.5: below the minimum
    inspector.plan_migrations(cycle_start);
    EXPECT_FALSE(inspector.is_draining("a"));
}

// Guards against continuous migration of requests when a share is a tenth of a connection.
TEST(Rebalancing, DoesNotDrainFewConnectionsHoweverSmallTheShare) {
    auto&& [actions, policy, inspector] = PolicyFixture(make_endpoints(26));
    adopt_connections(policy, cycle_start, "A", 1, 4);
    for (int cycle = 0; cycle < 6; ++cycle) inspector.plan_migrations(cycle_start + seconds(10 * cycle));
    EXPECT_EQ(inspector.surplus("A"), 0);
    EXPECT_FALSE(inspector.is_draining("A"));
}

TEST(Rebalancing, DrainsByLargestExcessOfLastSixCycles) {
    auto&& [actions, policy, inspector] = PolicyFixture({make_endpoint("a"), make_endpoint("b")});
    adopt_connections(policy, cycle_start, "a", 1, 30);
    adopt_connections(policy, cycle_start, "b", 100, 8);
    inspector.raise_excess("a", cycle_start - seconds(30), 18);  // the present excess is 11
    inspector.plan_migrations(cycle_start);
    EXPECT_EQ(inspector.surplus("a"), 3);
}

TEST(Rebalancing, ProtectsKeysThatReconnectInPauseAndMigratesThemFirstOnceBalanced) {
    auto&& [actions, policy, inspector] = PolicyFixture({make_endpoint("full"), make_endpoint("broken")});
    adopt_connections(policy, cycle_start, "full", 1, 20);
    const TimePoint pause = cycle_start + seconds(7);
    inspector.record_failover(pause - seconds(1), make_request(0, pause, "k"), "broken");
    policy.on_request(pause, make_request(77, pause, "k"));
    EXPECT_EQ(actions.attempts.at(0).server, "full");
    policy.on_attempt_established(pause, 77, 0, millis(5));
    EXPECT_TRUE(inspector.request(77).is_protected);
    EXPECT_EQ(inspector.server("full").protected_connections, 1);
    for (int k = 0; k < 50; ++k) EXPECT_NE(inspector.select_migration(pause, "full"), 77);
    adopt_connections(policy, pause, "broken", 100, 21);  // now both servers are balanced
    inspector.plan_migrations(cycle_start + seconds(10));
    EXPECT_EQ(inspector.select_migration(pause, "full"), 77);
}

// Guards against protected keys that accumulate on a slow server.
TEST(Rebalancing, MigratesProtectedConnectionsOffSlowServer) {
    auto&& [actions, policy, inspector] =
        PolicyFixture({make_endpoint("slow"), make_endpoint("a"), make_endpoint("broken")});
    adopt_connections(policy, cycle_start, "slow", 1, 4);
    for (RequestId id = 1; id <= 4; ++id) inspector.request(id).is_protected = true;
    EXPECT_EQ(inspector.select_migration(cycle_start, "slow"), 0);
    policy.on_latency_report(cycle_start, "slow", 900);
    EXPECT_NE(inspector.select_migration(cycle_start, "slow"), 0);
    const TimePoint pause = cycle_start + seconds(7);
    inspector.record_failover(pause, make_request(0, pause, "k"), "broken");
    for (RequestId id = 10; id < 20; ++id) policy.on_request(pause, make_request(id, pause, "k"));
    // The load limit of "slow" also rejects keys that would be protected there.
    for (const auto& attempt : actions.attempts) EXPECT_EQ(attempt.server, "a");
}

TEST(Rebalancing, FailoverTableIsBoundedAndDropsOldKeys) {
    auto&& [actions, policy, inspector] = PolicyFixture({make_endpoint("a")});
    for (int k = 0; k < 5000; ++k)
        inspector.record_failover(cycle_start, make_request(0, cycle_start, std::to_string(k)), "a");
    EXPECT_EQ(inspector.recorded_failovers(), 2048u);
    inspector.record_failover(cycle_start + seconds(60), make_request(0, cycle_start, "new"), "a");
    EXPECT_EQ(inspector.recorded_failovers(), 1u);
}

TEST(Rebalancing, EjectsServerThatKeepsTooFewConnections) {
    auto&& [actions, policy, inspector] = PolicyFixture({make_endpoint("a"), make_endpoint("b")});
    adopt_connections(policy, cycle_start, "b", 1, 10);
    inspector.request(1).is_protected = true;
    inspector.server("b").protected_connections = 1;
    inspector.raise_excess("b", cycle_start, 9);
    OutlierDetector::State outliers = inspector.outliers("a");
    outliers.sent_in_cycle = 20;
    outliers.lost_in_cycle = 19;
    inspector.set_outliers("a", outliers);
    inspector.eject_outliers(cycle_start);
    EXPECT_FALSE(inspector.is_selectable(cycle_start + seconds(20), "a"));
    EXPECT_TRUE(inspector.is_selectable(cycle_start + seconds(31), "a"));
    EXPECT_EQ(inspector.largest_excess("b", cycle_start), 0);
    EXPECT_FALSE(inspector.request(1).is_protected);
    outliers = inspector.outliers("b");
    outliers.sent_in_cycle = 19;
    outliers.lost_in_cycle = 19;
    inspector.set_outliers("b", outliers);
    inspector.eject_outliers(cycle_start);
    EXPECT_TRUE(inspector.is_selectable(cycle_start, "b"));  // too few attempts for an ejection
}
