#include "policy_helpers.h"

TEST(Placement, PlacesAtRandomBelowShareOnly) {
    auto&& [actions, policy, inspector] =
        PolicyFixture({make_endpoint("a"), make_endpoint("b"), make_endpoint("c")});
    adopt_connections(policy, cycle_start, "a", 1, 30);
    adopt_connections(policy, cycle_start, "b", 100, 3);
    adopt_connections(policy, cycle_start, "c", 200, 3);
    for (RequestId id = 300; id < 312; ++id) policy.on_request(cycle_start, make_request(id, cycle_start));
    int on_b = 0;
    for (const auto& s : actions.attempts) {
        EXPECT_NE(s.server, "a");
        on_b += s.server == "b";
    }
    EXPECT_EQ(actions.attempts.size(), 12u);
    EXPECT_GT(on_b, 0);
    EXPECT_LT(on_b, 12);
}

TEST(Placement, SharesFollowWeightsAndTheWarmUp) {
    Endpoint cold = make_endpoint("cold", 2);
    cold.launched = cycle_start - seconds(5);
    auto&& [actions, policy, inspector] = PolicyFixture({make_endpoint("a"), make_endpoint("b"), cold});
    adopt_connections(policy, cycle_start, "a", 1, 30);
    for (const ServerId s : {"a", "cold"})  // half of twice the weight
        EXPECT_TRUE(inspector.share(cycle_start, s) > 9.9 && inspector.share(cycle_start, s) < 10.1);
    EXPECT_GT(inspector.share(cycle_start + seconds(5), "cold"), 14.9);
}

// Counts do not mirror load where request classes differ in it.
TEST(Placement, CountsByToldLoad) {
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

TEST(Placement, AHintedLoadCountsUntilOneIsTold) {
    auto&& [actions, policy, inspector] = PolicyFixture({make_endpoint("a"), make_endpoint("b")});
    Request heavy = make_request(1, cycle_start), light = make_request(2, cycle_start);
    heavy.hinted_load = millis(90), light.hinted_load = millis(10);
    policy.on_request_adopted(cycle_start, heavy, "a");
    policy.on_request_adopted(cycle_start, light, "b");
    EXPECT_GT(inspector.load("a"), 8.9 * inspector.load("b"));
    policy.on_load_report(cycle_start, 1, 10'000);
    EXPECT_LT(inspector.load("a"), 1.1 * inspector.load("b"));
}

// Incident i32a987: overloaded servers dropped connections that then pushed over the next ones.
TEST(Placement, SlowMessagesCapAServerAndMoveConnectionsOff) {
    auto&& [actions, policy, inspector] = PolicyFixture({make_endpoint("a"), make_endpoint("b")});
    adopt_connections(policy, cycle_start, "a", 1, 20);
    adopt_connections(policy, cycle_start, "b", 100, 20);
    policy.on_latency_report(cycle_start, "a", 100);
    policy.on_latency_report(cycle_start + seconds(1), "a",
                             600);  // half a second more a second: asked half over capacity
    const double ceiling = inspector.load_limit(cycle_start + seconds(1), "a");
    EXPECT_GT(ceiling, 8);
    EXPECT_LT(ceiling, 13);
    EXPECT_GT(inspector.surplus("a"), 7);
    EXPECT_TRUE(inspector.is_draining("a"));
    TimePoint t = cycle_start + seconds(1);
    for (int k = 0; k < 40; ++k)
        for (const auto& [at, token] : actions.take_timers())
            if ((token & 0xff) == 3) policy.on_timer(t = std::max(t, at), token);
    EXPECT_GE(actions.migrated.size(), 7u);
    EXPECT_LE(actions.migrated.size(), 12u);
    for (const RequestId id : actions.migrated) EXPECT_LE(id, 20);
    EXPECT_GT(inspector.load_limit(t + seconds(10), "a"), ceiling);  // won back by itself
}

TEST(Placement, AllSlowIsRejectedAtOnceWithAdvice) {
    auto&& [actions, policy, inspector] = PolicyFixture({make_endpoint("a"), make_endpoint("b")});
    adopt_connections(policy, cycle_start, "a", 1, 20);
    adopt_connections(policy, cycle_start, "b", 100, 20);
    for (const ServerId s : {"a", "b"}) policy.on_latency_report(cycle_start, s, 900);
    policy.on_request(cycle_start, make_request(300, cycle_start));
    EXPECT_TRUE(actions.attempts.empty());
    EXPECT_EQ(actions.rejected.size(), 1u);
    EXPECT_GT(actions.retry_after.ns, 0);
    EXPECT_LE(actions.retry_after, seconds(2));
    EXPECT_FALSE(inspector.has_request(300));
}

// Incident i14adcf: with part of the fleet lost, fourteen groups stood on 130 server places.
// Messages may take a third of their target by themselves: load has no part in such a delay (wide, silent
// days).
TEST(Placement, MildDelaysThatDoNotGrowLeadToNoReject) {
    for (const double then : {30.0, 45.0}) {
        auto&& [actions, policy, inspector] = PolicyFixture({make_endpoint("a"), make_endpoint("b")});
        adopt_connections(policy, cycle_start, "a", 1, 20);
        adopt_connections(policy, cycle_start, "b", 100, 20);
        for (const ServerId s : {"a", "b"}) policy.on_latency_report(cycle_start, s, 30);
        for (const ServerId s : {"a", "b"}) policy.on_latency_report(cycle_start + seconds(1), s, then);
        policy.on_request(cycle_start + seconds(1), make_request(300, cycle_start + seconds(1)));
        EXPECT_TRUE(then > 30 ? actions.rejected.size() == 1 : actions.attempts.size() == 1);
    }
}
// Cut to what it held when it was slow, a sound server would leave all that others lose to the rest
// (r067ef1).
TEST(Placement, AMildServerKeepsMostOfItsShareWhenTheLoadGrows) {
    auto&& [actions, policy, inspector] = PolicyFixture({make_endpoint("a"), make_endpoint("b")});
    adopt_connections(policy, cycle_start, "a", 1, 20);
    adopt_connections(policy, cycle_start, "b", 100, 20);
    policy.on_latency_report(cycle_start, "a", 100);
    policy.on_latency_report(cycle_start + seconds(1), "a", 600);
    const TimePoint then = cycle_start + seconds(2);
    adopt_connections(policy, then, "b", 200, 60);
    EXPECT_LT(inspector.load_limit(then, "a"), 15);
    policy.on_latency_report(then, "a", 12);
    EXPECT_GT(inspector.load_limit(then, "a"), 0.6 * inspector.load("b") * 100 / 160);
    EXPECT_LT(inspector.load_limit(then, "a"), 45);
}
TEST(Placement, AGroupKeepsToItsHoldersAndItsHome) {
    auto&& [actions, policy, inspector] = PolicyFixture(make_endpoints(12));
    RequestId id = 1000;
    for (const Endpoint& l : make_endpoints(12))
        adopt_connections(policy, cycle_start, l.server, id += 100, 8);
    for (RequestId c = 1; c <= 16; ++c) policy.on_request(cycle_start, make_request(c, cycle_start, "", "g"));
    std::map<ServerId, int> places;
    for (const auto& s : actions.attempts) ++places[s.server];
    EXPECT_EQ(actions.attempts.size(), 16u);
    EXPECT_LE(places.size(), 8u);
    EXPECT_GE(places[actions.attempts[0].server],
              2);  // filled to a quarter over share before the next is opened
}

TEST(Placement, ASlowHomeRejectsOnlyWhileMuchOfTheFleetIsSlow) {
    // Two of five say little about the others (silent days).
    for (const auto& [slow, of] : {std::pair{1, 12}, {8, 12}, {2, 5}, {3, 5}}) {
        auto&& [actions, policy, inspector] = PolicyFixture(make_endpoints(of));
        RequestId id = 1000;
        for (const Endpoint& l : make_endpoints(of))
            adopt_connections(policy, cycle_start, l.server, id += 100, 8);
        policy.on_request(cycle_start, make_request(1, cycle_start, "", "g"));
        const ServerId first = actions.attempts.at(0).server;
        policy.on_client_gone(cycle_start, 1);
        policy.on_latency_report(cycle_start, first, 900);
        int told = 1;
        for (const Endpoint& l : make_endpoints(of))
            if (l.server != first && told < slow)
                policy.on_latency_report(cycle_start, l.server, 900), ++told;
        policy.on_request(cycle_start, make_request(2, cycle_start, "", "g"));
        EXPECT_TRUE(slow > 2 ? actions.rejected.size() == 1
                             : actions.attempts.size() == 2 && actions.attempts[1].server != first);
    }
}
