// Tests when a request gets an attempt, is queued, is rejected or fails: a case for each result and
// condition.
#include "policy_helpers.h"

namespace headrouter {
namespace {

const std::vector<Endpoint> two_servers = {make_endpoint("a"), make_endpoint("b")};

PolicyConfig config_of(Idempotency idempotency, int max_attempts) {
    PolicyConfig config = make_config(idempotency);
    config.max_attempts = max_attempts;
    return config;
}

TEST(RequestPipeline, StartsAttemptWhenServerMayTakeRequest) {
    auto&& [actions, policy, inspector] = PolicyFixture(two_servers);
    policy.on_request(cycle_start, make_request(1, cycle_start));
    ASSERT_EQ(actions.attempts.size(), 1u);
    EXPECT_TRUE(actions.attempts[0].server == "a" || actions.attempts[0].server == "b");
}

TEST(RequestPipeline, AttemptLeavesTimeForNextOneAndLastAttemptGetsRemainingTime) {
    auto&& [actions, policy, inspector] = PolicyFixture(two_servers, config_of(Idempotency::idempotent, 2));
    policy.on_request(cycle_start, make_request(1, cycle_start));
    const TimePoint now = cycle_start + millis(180);
    policy.on_attempt_ended(now, 1, 0, AttemptOutcome::timed_out, millis(180), false, {});
    ASSERT_EQ(actions.attempts.size(), 2u);
    EXPECT_EQ(actions.attempts[0].timeout, millis(300) * 0.6);  // 0.6 of the setup objective
    EXPECT_EQ(actions.attempts[1].timeout, seconds(2) - millis(180));
    EXPECT_NE(actions.attempts[0].server, actions.attempts[1].server);
}

TEST(RequestPipeline, QueuesRequestWhileNoServerIsKnownAndRetriesItByTimer) {
    auto&& [actions, policy, inspector] = PolicyFixture(std::vector<Endpoint>{});
    policy.on_request(cycle_start, make_request(1, cycle_start));
    EXPECT_TRUE(actions.attempts.empty());
    EXPECT_TRUE(inspector.request(1).queued);
    policy.on_endpoints(cycle_start, EndpointUpdateKind::snapshot, two_servers);
    EXPECT_TRUE(actions.attempts.empty());
    for (const auto& [due, token] : actions.take_timers())
        if (due == cycle_start + millis(20)) policy.on_timer(due, token);
    EXPECT_EQ(actions.attempts.size(), 1u);
    EXPECT_FALSE(inspector.request(1).queued);
}

TEST(RequestPipeline, RejectsRequestThatCannotBeTriedAgainBeforeDeadline) {
    auto&& [actions, policy, inspector] = PolicyFixture(std::vector<Endpoint>{});
    Request request = make_request(1, cycle_start);
    request.deadline = cycle_start + millis(24);  // exactly the time of the next try plus two steps
    policy.on_request(cycle_start, request);
    EXPECT_EQ(actions.rejected, (std::vector<RequestId>{1}));
    EXPECT_FALSE(inspector.has_request(1));
}

TEST(RequestPipeline, RejectsRequestAtItsDeadline) {
    auto&& [actions, policy, inspector] = PolicyFixture(two_servers);
    Request request = make_request(1, cycle_start);
    request.deadline = cycle_start;
    policy.on_request(cycle_start, request);
    EXPECT_TRUE(actions.attempts.empty());
    EXPECT_EQ(actions.rejected, (std::vector<RequestId>{1}));
}

TEST(RequestPipeline, FailsNonIdempotentRequestThatMayHaveRun) {
    auto&& [actions, policy, inspector] =
        PolicyFixture(two_servers, config_of(Idempotency::non_idempotent, 4));
    policy.on_request(cycle_start, make_request(1, cycle_start));
    policy.on_attempt_ended(cycle_start, 1, 0, AttemptOutcome::error, millis(1), false, {});
    EXPECT_EQ(actions.attempts.size(), 1u);
    EXPECT_EQ(actions.failed, (std::vector<RequestId>{1}));
    EXPECT_TRUE(actions.rejected.empty());
    EXPECT_FALSE(inspector.has_request(1));
}

TEST(RequestPipeline, RejectsRequestThatNeverRanAfterLastAttempt) {
    auto&& [actions, policy, inspector] =
        PolicyFixture(two_servers, config_of(Idempotency::non_idempotent, 1));
    policy.on_request(cycle_start, make_request(1, cycle_start));
    policy.on_attempt_ended(cycle_start, 1, 0, AttemptOutcome::connect_failed, millis(1), false, {});
    EXPECT_EQ(actions.rejected, (std::vector<RequestId>{1}));
    EXPECT_TRUE(actions.failed.empty());
}

TEST(RequestPipeline, FinalOutcomeRemovesRequestWithoutFurtherAnswer) {
    auto&& [actions, policy, inspector] = PolicyFixture(two_servers);
    policy.on_request(cycle_start, make_request(1, cycle_start));
    policy.on_attempt_ended(cycle_start, 1, 0, AttemptOutcome::completed, millis(1), true, {});
    EXPECT_FALSE(inspector.has_request(1));
    EXPECT_EQ(actions.attempts.size(), 1u);
    EXPECT_TRUE(actions.rejected.empty());
    EXPECT_TRUE(actions.failed.empty());
}

}  // namespace
}  // namespace headrouter
