/// Tests which server a request is sent to, and when it is rejected instead.
#include "policy_helpers.h"

TEST(Placement, ChoosesRandomlyAmongServersBelowTheirShares) {
    auto&& [actions, policy, inspector] =
        PolicyFixture({make_endpoint("a"), make_endpoint("b"), make_endpoint("c")});
    adopt_connections(policy, cycle_start, "a", 1, 30);
    adopt_connections(policy, cycle_start, "b", 100, 3);
    adopt_connections(policy, cycle_start, "c", 200, 3);
    for (RequestId id = 300; id < 312; ++id) policy.on_request(cycle_start, make_request(id, cycle_start));
    int on_b = 0;
    for (const auto& attempt : actions.attempts) {
        EXPECT_NE(attempt.server, "a");
        if (attempt.server == "b") ++on_b;
    }
    EXPECT_EQ(actions.attempts.size(), 12u);
    EXPECT_GT(on_b, 0);
    EXPECT_LT(on_b, 12);
}

TEST(Placement, SharesFollowWeightsAndSlowStart) {
    Endpoint cold = make_endpoint("cold", 2);
    cold.launched = cycle_start - seconds(5);
    auto&& [actions, policy, inspector] = PolicyFixture({make_endpoint("a"), make_endpoint("b"), cold});
    adopt_connections(policy, cycle_start, "a", 1, 30);
    for (const ServerId server : {"a", "cold"}) {  // cold: half of twice the weight
        EXPECT_GT(inspector.share(cycle_start, server), 9.9);
        EXPECT_LT(inspector.share(cycle_start, server), 10.1);
    }
    EXPECT_GT(inspector.share(cycle_start + seconds(5), "cold"), 14.9);
}

// Guards against balancing by connection counts where the loads of requests differ.
TEST(Placement, ReportedLoadsCountInsteadOfConnections) {
    auto&& [actions, policy, inspector] = PolicyFixture({make_endpoint("a"), make_endpoint("b")});
    adopt_connections(policy, cycle_start, "a", 1, 2);
    adopt_connections(policy, cycle_start, "b", 10, 6);
    for (RequestId id = 1; id <= 2; ++id) policy.on_load_report(cycle_start, id, 90'000);
    for (RequestId id = 10; id < 16; ++id) policy.on_load_report(cycle_start, id, 10'000);
    EXPECT_GT(inspector.load("a"), 2.9 * inspector.load("b"));
    policy.on_request(cycle_start, make_request(50, cycle_start));
    EXPECT_EQ(actions.attempts.at(0).server, "b");
    policy.on_client_gone(cycle_start, 1);
    policy.on_client_gone(cycle_start, 2);
    EXPECT_LT(inspector.load("a"), 1e-6);
}

TEST(Placement, HintedLoadCountsUntilLoadIsReported) {
    auto&& [actions, policy, inspector] = PolicyFixture({make_endpoint("a"), make_endpoint("b")});
    Request heavy = make_request(1, cycle_start);
    heavy.hinted_load = millis(90);
    Request light = make_request(2, cycle_start);
    light.hinted_load = millis(10);
    policy.on_request_adopted(cycle_start, heavy, "a");
    policy.on_request_adopted(cycle_start, light, "b");
    EXPECT_GT(inspector.load("a"), 8.9 * inspector.load("b"));
    policy.on_load_report(cycle_start, 1, 10'000);
    EXPECT_LT(inspector.load("a"), 1.1 * inspector.load("b"));
}

// Guards against cascading overload: connections that an overloaded server drops overload the next servers.
TEST(Placement, SlowMessagesSetLoadLimitAndMigrateSurplus) {
    auto&& [actions, policy, inspector] = PolicyFixture({make_endpoint("a"), make_endpoint("b")});
    adopt_connections(policy, cycle_start, "a", 1, 20);
    adopt_connections(policy, cycle_start, "b", 100, 20);
    policy.on_latency_report(cycle_start, "a", 100);
    // The latency grew by half a second within one second: the load is half over capacity.
    policy.on_latency_report(cycle_start + seconds(1), "a", 600);
    const double limit = inspector.load_limit(cycle_start + seconds(1), "a");
    EXPECT_GT(limit, 8);
    EXPECT_LT(limit, 13);
    EXPECT_GT(inspector.surplus("a"), 7);
    EXPECT_TRUE(inspector.is_draining("a"));
    TimePoint now = cycle_start + seconds(1);
    for (int k = 0; k < 40; ++k)
        for (const auto& timer : actions.take_timers()) {
            if (!timer.is(TimerKind::migrate_next)) continue;
            now = std::max(now, timer.due);
            policy.on_timer(now, timer.token);
        }
    EXPECT_GE(actions.migrated.size(), 7u);
    EXPECT_LE(actions.migrated.size(), 12u);
    for (const RequestId id : actions.migrated) EXPECT_LE(id, 20);
    EXPECT_GT(inspector.load_limit(now + seconds(10), "a"), limit);  // rises over time without a report
}

TEST(Placement, RejectsImmediatelyWithRetryAfterWhenAllServersAreSlow) {
    auto&& [actions, policy, inspector] = PolicyFixture({make_endpoint("a"), make_endpoint("b")});
    adopt_connections(policy, cycle_start, "a", 1, 20);
    adopt_connections(policy, cycle_start, "b", 100, 20);
    for (const ServerId server : {"a", "b"}) policy.on_latency_report(cycle_start, server, 900);
    policy.on_request(cycle_start, make_request(300, cycle_start));
    EXPECT_TRUE(actions.attempts.empty());
    EXPECT_EQ(actions.rejected.size(), 1u);
    EXPECT_GT(actions.retry_after.ns, 0);
    EXPECT_LE(actions.retry_after, seconds(2));
    EXPECT_FALSE(inspector.has_request(300));
}

// Guards against rejects because of latency that load does not cause (here a third of the message objective).
TEST(Placement, MildLatencyThatDoesNotGrowCausesNoReject) {
    for (const double second_ms : {30.0, 45.0}) {
        auto&& [actions, policy, inspector] = PolicyFixture({make_endpoint("a"), make_endpoint("b")});
        adopt_connections(policy, cycle_start, "a", 1, 20);
        adopt_connections(policy, cycle_start, "b", 100, 20);
        for (const ServerId server : {"a", "b"}) policy.on_latency_report(cycle_start, server, 30);
        for (const ServerId server : {"a", "b"})
            policy.on_latency_report(cycle_start + seconds(1), server, second_ms);
        policy.on_request(cycle_start + seconds(1), make_request(300, cycle_start + seconds(1)));
        const bool has_grown = second_ms > 30;
        EXPECT_EQ(actions.rejected.size(), has_grown ? 1 : 0);
        EXPECT_EQ(actions.attempts.size(), has_grown ? 0 : 1);
    }
}

// Guards against a recovered server that stays limited to the connections it had while slow, although the
// load grows.
TEST(Placement, ServerWithMildLatencyKeepsMostOfShareWhenLoadGrows) {
    auto&& [actions, policy, inspector] = PolicyFixture({make_endpoint("a"), make_endpoint("b")});
    adopt_connections(policy, cycle_start, "a", 1, 20);
    adopt_connections(policy, cycle_start, "b", 100, 20);
    policy.on_latency_report(cycle_start, "a", 100);
    policy.on_latency_report(cycle_start + seconds(1), "a", 600);
    const TimePoint later = cycle_start + seconds(2);
    adopt_connections(policy, later, "b", 200, 60);
    EXPECT_LT(inspector.load_limit(later, "a"), 15);
    policy.on_latency_report(later, "a", 12);
    EXPECT_GT(inspector.load_limit(later, "a"), 0.6 * inspector.load("b") * 100 / 160);
    EXPECT_LT(inspector.load_limit(later, "a"), 45);
}

TEST(Placement, GroupStaysOnServersWithMembersAndPreferredServers) {
    auto&& [actions, policy, inspector] = PolicyFixture(make_endpoints(12));
    RequestId id = 1000;
    for (const Endpoint& endpoint : make_endpoints(12)) {
        id += 100;
        adopt_connections(policy, cycle_start, endpoint.server, id, 8);
    }
    for (RequestId member = 1; member <= 16; ++member)
        policy.on_request(cycle_start, make_request(member, cycle_start, "", "g"));
    std::map<ServerId, int> members;
    for (const auto& attempt : actions.attempts) ++members[attempt.server];
    EXPECT_EQ(actions.attempts.size(), 16u);
    EXPECT_LE(members.size(), 8u);
    // A server is filled to a quarter over its share before the next one is used.
    EXPECT_GE(members[actions.attempts[0].server], 2);
}

TEST(Placement, SlowPreferredServerCausesRejectOnlyWhileMuchOfFleetIsSlow) {
    for (const auto& [slow, count] : {std::pair{1, 12}, {8, 12}, {2, 5}, {3, 5}}) {
        const std::vector<Endpoint> endpoints = make_endpoints(count);
        auto&& [actions, policy, inspector] = PolicyFixture(endpoints);
        RequestId id = 1000;
        for (const Endpoint& endpoint : endpoints) {
            id += 100;
            adopt_connections(policy, cycle_start, endpoint.server, id, 8);
        }
        policy.on_request(cycle_start, make_request(1, cycle_start, "", "g"));
        const ServerId first = actions.attempts.at(0).server;
        policy.on_client_gone(cycle_start, 1);
        policy.on_latency_report(cycle_start, first, 900);
        int reported = 1;
        for (const Endpoint& endpoint : endpoints) {
            if (endpoint.server == first || reported >= slow) continue;
            policy.on_latency_report(cycle_start, endpoint.server, 900);
            ++reported;
        }
        policy.on_request(cycle_start, make_request(2, cycle_start, "", "g"));
        const bool rejects = slow > 2;  // two slow servers of five are too few to count as much of the fleet
        EXPECT_EQ(actions.rejected.size(), rejects ? 1 : 0);
        EXPECT_EQ(actions.attempts.size(), rejects ? 1 : 2);
        if (!rejects) {
            EXPECT_NE(actions.attempts.at(1).server, first);
        }
    }
}
