/// Tests timeouts and outcomes of attempts, failure penalties and the retry budget.
#include "policy_helpers.h"

TEST(Attempts, AttemptTimeoutLeavesTimeForRetry) {
    auto&& [actions, policy, inspector] = PolicyFixture({make_endpoint("a"), make_endpoint("b")});
    policy.on_request(cycle_start, make_request(1, cycle_start));
    EXPECT_EQ(actions.attempts[0].timeout, millis(180));  // 0.6 of the setup objective of 300 ms
    TimePoint now = cycle_start + seconds(1.8);
    policy.on_attempt_ended(now, 1, 0, AttemptOutcome::timed_out, seconds(1.8), false, {});
    EXPECT_EQ(actions.attempts[1].timeout, millis(100));  // half of the time left before the deadline
    policy.on_attempt_ended(now, 1, 1, AttemptOutcome::at_capacity, {}, false, {});
    policy.on_attempt_ended(now, 1, 2, AttemptOutcome::at_capacity, {}, false, {});
    EXPECT_EQ(actions.attempts[3].timeout, millis(200));  // the last attempt gets all the time that is left
}

TEST(Attempts, LateOrRepeatedOutcomeIsIgnored) {
    auto&& [actions, policy, inspector] = PolicyFixture({make_endpoint("a"), make_endpoint("b")});
    policy.on_request(cycle_start, make_request(1, cycle_start));
    policy.on_attempt_ended(cycle_start, 1, 0, AttemptOutcome::at_capacity, {}, false, {});
    policy.on_attempt_ended(cycle_start, 1, 0, AttemptOutcome::at_capacity, {}, false,
                            {});  // the attempt has already ended
    policy.on_attempt_ended(cycle_start, 1, 7, AttemptOutcome::at_capacity, {}, false,
                            {});  // unknown attempt
    policy.on_attempt_ended(cycle_start, 9, 0, AttemptOutcome::at_capacity, {}, false,
                            {});  // unknown request
    EXPECT_EQ(actions.attempts.size(), 2u);
    policy.on_client_gone(cycle_start, 1);
    policy.on_client_gone(cycle_start, 1);  // a repeated event of the same batch
    policy.on_attempt_ended(cycle_start, 1, 1, AttemptOutcome::completed, {}, true, {});
    policy.on_attempt_established(cycle_start, 1, 1, {});
    policy.on_load_report(cycle_start, 1, 5);
    EXPECT_EQ(actions.attempts.size(), 2u);
    EXPECT_TRUE(actions.rejected.empty());
    EXPECT_TRUE(actions.failed.empty());
    for (const ServerId server : {"a", "b"}) {
        EXPECT_EQ(inspector.server(server).pending_attempts, 0);
        EXPECT_TRUE(inspector.server(server).connections.empty());
    }
}

TEST(Attempts, ShareRecoversWhileFailurePenaltyDecays) {
    auto&& [actions, policy, inspector] = PolicyFixture({make_endpoint("a"), make_endpoint("b")});
    adopt_connections(policy, cycle_start, "a", 10, 10);
    adopt_connections(policy, cycle_start, "b", 30, 10);
    policy.on_request(cycle_start, make_request(1, cycle_start));
    const ServerId failed = actions.attempts[0].server;
    policy.on_attempt_ended(cycle_start, 1, 0, AttemptOutcome::timed_out, millis(180), false, {});
    EXPECT_EQ(inspector.failure_penalty(cycle_start, failed), 1);
    EXPECT_FALSE(inspector.is_selectable(cycle_start, failed));
    const TimePoint after = cycle_start + seconds(1);
    EXPECT_TRUE(inspector.is_selectable(after, failed));
    EXPECT_LT(inspector.share(after, failed), 8);  // selectable again, with a share below half of the load
    const double share = inspector.share(after, failed);
    EXPECT_GT(inspector.share(after + seconds(4), failed), share + 1);
    EXPECT_LT(inspector.failure_penalty(cycle_start + seconds(40), failed), 0.01);
}

// Guards against sending many attempts to a server that accepts requests but answers none of them.
TEST(Attempts, FailingServerGetsOneAttemptAtATime) {
    auto&& [actions, policy, inspector] = PolicyFixture({make_endpoint("a")});
    OutlierDetector::State outliers = inspector.outliers("a");
    outliers.consecutive_failures = 1;
    inspector.set_outliers("a", outliers);
    EXPECT_TRUE(inspector.is_selectable(cycle_start, "a"));
    inspector.server("a").pending_attempts = 1;
    EXPECT_FALSE(inspector.is_selectable(cycle_start, "a"));
    outliers.consecutive_failures = 0;
    inspector.set_outliers("a", outliers);
    EXPECT_TRUE(inspector.is_selectable(cycle_start, "a"));
}

// Guards against rejecting all requests when every server has just failed.
TEST(Attempts, SendsRequestWhenAllServersAreInBackoff) {
    auto&& [actions, policy, inspector] = PolicyFixture({make_endpoint("a"), make_endpoint("b")});
    for (const ServerId server : {"a", "b"}) inspector.record_failure(cycle_start, server);
    for (const ServerId server : {"a", "b"}) EXPECT_FALSE(inspector.is_selectable(cycle_start, server));
    policy.on_request(cycle_start, make_request(1, cycle_start));
    EXPECT_EQ(actions.attempts.size(), 1u);
}

// If all connections of a server are reset at once, the next process to answer there is a new one. A single
// reset does not count as a crash.
TEST(Attempts, CrashedServerBeginsSlowStartBeforeEndpointListReportsRestart) {
    auto&& [actions, policy, inspector] = PolicyFixture({make_endpoint("a"), make_endpoint("b")});
    adopt_connections(policy, cycle_start, "a", 10, 6);
    adopt_connections(policy, cycle_start, "b", 30, 6);
    for (RequestId id = 10; id < 16; ++id)
        policy.on_attempt_ended(cycle_start, id, 0, AttemptOutcome::reset, {}, true, {});
    policy.on_attempt_ended(cycle_start, 30, 0, AttemptOutcome::reset, {}, true, {});
    EXPECT_TRUE(inspector.is_restart_expected("a"));
    EXPECT_FALSE(inspector.is_restart_expected("b"));
    OutlierDetector::State outliers = inspector.outliers("a");
    outliers.backoff_until = {};
    inspector.set_outliers("a", outliers);
    const TimePoint now = cycle_start + seconds(8);
    policy.on_request(now, make_request(1, now));
    EXPECT_EQ(actions.attempts[0].server, "a");
    policy.on_attempt_established(now, 1, 0, millis(4));
    EXPECT_EQ(inspector.started("a"), now);
    EXPECT_LT(inspector.share(now + seconds(1), "a"), 1);
}

// Guards against retries that multiply the load while all servers fail. After attempts that may have run,
// retries are limited to two plus a fifth of the requests of the last seconds; the other requests are
// rejected with a retry-after. An attempt that no retry may follow gets all the time left. Retries after
// attempts that cannot have run are not counted.
TEST(Attempts, RetriesStopWhenBudgetIsExhausted) {
    const std::vector<Endpoint> endpoints = make_endpoints(20);
    for (const auto& [outcome, attempts, rejected] : {std::tuple(AttemptOutcome::timed_out, 25u, 19u),
                                                      {AttemptOutcome::error, 25u, 19u},
                                                      {AttemptOutcome::reset, 25u, 19u},
                                                      {AttemptOutcome::connect_failed, 76u, 19u},
                                                      {AttemptOutcome::at_capacity, 76u, 19u}}) {
        auto&& [actions, policy, inspector] = PolicyFixture(endpoints);
        std::vector<int> ended(20);
        for (RequestId id = 1; id <= 19; ++id) policy.on_request(cycle_start, make_request(id, cycle_start));
        // NOLINTNEXTLINE(modernize-loop-convert): each outcome may add another attempt to the list.
        for (size_t at = 0; at < actions.attempts.size(); ++at) {
            const RequestId id = actions.attempts[at].request;
            policy.on_attempt_ended(cycle_start + millis(50), id, ended[id]++, outcome, millis(50), false,
                                    {});
        }
        EXPECT_EQ(actions.attempts.size(), attempts);
        EXPECT_EQ(actions.rejected.size(), rejected);
        EXPECT_GT(actions.retry_after.ns, 0);
        if (attempts == 76) continue;
        policy.on_request(cycle_start + millis(60), make_request(30, cycle_start));
        EXPECT_EQ(actions.attempts.back().timeout, seconds(2) - millis(60));  // until the deadline
        policy.on_request(cycle_start + seconds(7), make_request(31, cycle_start + seconds(7)));
        EXPECT_EQ(actions.attempts.back().timeout, millis(180));  // the budget allows retries again
    }
}
