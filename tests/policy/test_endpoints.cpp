/// Tests endpoint updates, polls, restarts and unknown timers.
#include "policy_helpers.h"

static EndpointState endpoint_state(BalancingPolicy& policy, const ServerId& server) {
    return PolicyInspector{policy}.server(server).endpoint.state;
}

TEST(Endpoints, ServerMissingFromSnapshotIsRemoved) {
    RecordingActions actions;
    BalancingPolicy policy(make_config(), 1, actions, cycle_start);
    policy.on_endpoints(cycle_start, EndpointUpdateKind::cached, {make_endpoint("a"), make_endpoint("old")});
    policy.on_endpoints(cycle_start, EndpointUpdateKind::delta, {make_endpoint("b")});
    EXPECT_EQ(endpoint_state(policy, "old"), EndpointState::active);
    policy.on_endpoints(cycle_start, EndpointUpdateKind::snapshot, {make_endpoint("a"), make_endpoint("b")});
    EXPECT_EQ(endpoint_state(policy, "old"), EndpointState::removed);
    EXPECT_EQ(endpoint_state(policy, "a"), EndpointState::active);
    policy.on_endpoints(cycle_start, EndpointUpdateKind::error, {});
    EXPECT_EQ(endpoint_state(policy, "a"), EndpointState::active);  // the list before the error stays valid
}

TEST(Endpoints, ErrorIsFollowedByPollAfterBoundedBackoff) {
    RecordingActions actions;
    PolicyConfig config = make_config();
    config.polls_endpoints = true;
    BalancingPolicy policy(config, 1, actions, cycle_start);
    EXPECT_EQ(actions.watch_requests, 1);
    TimePoint now = cycle_start;
    int polls = 1;
    for (int k = 0; k < 12; ++k) {
        actions.take_timers();
        policy.on_endpoints(now, EndpointUpdateKind::error, {});
        const auto timers = actions.take_timers();
        EXPECT_EQ(timers.size(), 1u);
        const Duration backoff = timers[0].due - now;
        EXPECT_GE(backoff, millis(200));
        EXPECT_LE(backoff, seconds(2.6));  // far below the time after which a drain is assumed to be known
        now = timers[0].due;
        policy.on_timer(now, timers[0].token);
        EXPECT_EQ(actions.watch_requests, ++polls);
    }
    const auto no_timers = actions.take_timers();
    policy.on_endpoints(now, EndpointUpdateKind::delta, {make_endpoint("a")});
    policy.on_endpoints(now, EndpointUpdateKind::error, {});  // the watch was lost
    for (const auto& [at, token] : actions.take_timers()) policy.on_timer(at, token);
    EXPECT_TRUE(no_timers.empty());
    EXPECT_EQ(actions.watch_requests, polls + 1);
}

// The same id with a later launch time is a new process: the failures, load limit and connections of the old
// process no longer apply.
TEST(Endpoints, RestartUnderSameIdClearsStateOfOldProcess) {
    auto&& [actions, policy, inspector] = PolicyFixture({make_endpoint("a"), make_endpoint("b")});
    adopt_connections(policy, cycle_start, "a", 1, 3);
    OutlierDetector::State outliers = inspector.outliers("a");
    outliers.failure_penalty = 5;
    outliers.penalty_at = cycle_start;
    outliers.consecutive_failures = 4;
    outliers.backoff_until = cycle_start + seconds(9);
    inspector.set_outliers("a", outliers);
    inspector.raise_excess("a", cycle_start, 7);
    inspector.set_load_limit("a", cycle_start, 2);
    Endpoint restarted = make_endpoint("a");
    restarted.launched = cycle_start + seconds(2);
    policy.on_endpoints(cycle_start + seconds(3), EndpointUpdateKind::delta, {restarted});
    const TimePoint now = cycle_start + seconds(3);
    EXPECT_EQ(inspector.failure_penalty(now, "a"), 0);
    EXPECT_TRUE(inspector.is_selectable(now, "a"));
    EXPECT_EQ(inspector.largest_excess("a", now), 0);
    EXPECT_TRUE(inspector.server("a").connections.empty());
    EXPECT_FALSE(inspector.has_load_limit(now, "a"));
    EXPECT_EQ(inspector.started("a"), restarted.launched);
    EXPECT_EQ(actions.migrated.size(), 3u);                            // the connections of the old process
    policy.on_endpoints(now, EndpointUpdateKind::delta, {restarted});  // a repeated delta has no effect
    EXPECT_EQ(inspector.started("a"), restarted.launched);
    EXPECT_EQ(actions.migrated.size(), 3u);
}

// A step of the wall clock can put a launch time in the future. Slow start then begins now, and only once.
TEST(Endpoints, ServerWithFutureLaunchTimeBeginsSlowStartNow) {
    auto&& [actions, policy, inspector] = PolicyFixture({make_endpoint("a")});
    Endpoint ahead = make_endpoint("b");
    ahead.launched = cycle_start + seconds(3600);
    const TimePoint now = cycle_start + seconds(1);
    policy.on_endpoints(now, EndpointUpdateKind::delta, {ahead});
    EXPECT_EQ(inspector.started("b"), now);
    policy.on_endpoints(now + seconds(5), EndpointUpdateKind::snapshot, {make_endpoint("a"), ahead});
    EXPECT_EQ(inspector.started("b"), now);
}

TEST(Endpoints, UnknownTimersAreIgnored) {
    auto&& [actions, policy, inspector] = PolicyFixture({make_endpoint("a")});
    actions.take_timers();
    for (const uint64_t token : {0ULL, 255ULL, 3ULL | 77ULL << 8, ~0ULL}) policy.on_timer(cycle_start, token);
    EXPECT_TRUE(actions.timers.empty());
    EXPECT_TRUE(actions.migrated.empty());
    EXPECT_EQ(actions.watch_requests, 0);
}
