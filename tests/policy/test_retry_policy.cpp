// Tests which requests may run twice, for each idempotency, each deduplication scope, and before and after
// the end of the deduplication window.
#include <gtest/gtest.h>

#include <vector>

#include "policy/retry_policy.h"

namespace headrouter::retry_policy {
namespace {

constexpr Duration dedup_window = seconds(5);
constexpr Duration before_window_end = dedup_window - Duration{1};
constexpr Duration after_window_end = dedup_window + Duration{1};

constexpr Idempotency every_idempotency[] = {Idempotency::idempotent, Idempotency::keyed,
                                             Idempotency::non_idempotent};
constexpr DedupScope every_scope[] = {DedupScope::all, DedupScope::zone, DedupScope::cell};
constexpr ClientRetryBasis every_basis[] = {ClientRetryBasis::deduplication,
                                            ClientRetryBasis::execution_only};

RequestClass class_of(Idempotency idempotency, DedupScope scope) {
    RequestClass request_class;
    request_class.idempotency = idempotency;
    request_class.dedup_scope = scope;
    request_class.dedup_window = dedup_window;
    return request_class;
}

Endpoint endpoint_in(int zone, int cell) {
    Endpoint endpoint;
    endpoint.zone = zone;
    endpoint.cell = cell;
    return endpoint;
}

TEST(RetryPolicy, SecondRunDependsOnIdempotencyAndWindowInEveryScope) {
    for (const DedupScope scope : every_scope) {
        for (const Duration since_sent : {Duration{0}, before_window_end, dedup_window, after_window_end}) {
            SCOPED_TRACE(testing::Message() << "scope " << static_cast<int>(scope) << ", " << since_sent.ns
                                            << " ns after the first attempt");
            EXPECT_TRUE(allows_second_run(class_of(Idempotency::idempotent, scope), since_sent));
            EXPECT_FALSE(allows_second_run(class_of(Idempotency::non_idempotent, scope), since_sent));
            EXPECT_EQ(allows_second_run(class_of(Idempotency::keyed, scope), since_sent),
                      since_sent < dedup_window);
        }
    }
}

TEST(RetryPolicy, TimeLeftForSecondRunEndsWithTheWindowOfKeyedRequests) {
    for (const DedupScope scope : every_scope) {
        EXPECT_EQ(time_left_for_second_run(class_of(Idempotency::idempotent, scope), after_window_end),
                  std::nullopt);
        EXPECT_EQ(time_left_for_second_run(class_of(Idempotency::non_idempotent, scope), Duration{}),
                  Duration{});
        EXPECT_EQ(time_left_for_second_run(class_of(Idempotency::keyed, scope), before_window_end),
                  Duration{1});
        EXPECT_EQ(time_left_for_second_run(class_of(Idempotency::keyed, scope), after_window_end),
                  Duration{-1});
    }
}

TEST(RetryPolicy, OnlyKeyedRequestsAreBoundToTheirScope) {
    for (const DedupScope scope : every_scope) {
        EXPECT_EQ(second_run_scope(class_of(Idempotency::keyed, scope)), scope);
        EXPECT_EQ(second_run_scope(class_of(Idempotency::idempotent, scope)), DedupScope::all);
        EXPECT_EQ(second_run_scope(class_of(Idempotency::non_idempotent, scope)), DedupScope::all);
    }
}

TEST(RetryPolicy, ScopeComparesZonesOrCells) {
    const Endpoint first = endpoint_in(1, 10);
    const Endpoint same_zone = endpoint_in(1, 11);
    const Endpoint same_cell = endpoint_in(2, 10);
    const Endpoint elsewhere = endpoint_in(2, 11);

    EXPECT_TRUE(is_in_scope(DedupScope::all, first, elsewhere));

    EXPECT_TRUE(is_in_scope(DedupScope::zone, first, same_zone));
    EXPECT_FALSE(is_in_scope(DedupScope::zone, first, same_cell));
    EXPECT_FALSE(is_in_scope(DedupScope::zone, first, elsewhere));

    EXPECT_FALSE(is_in_scope(DedupScope::cell, first, same_zone));
    EXPECT_TRUE(is_in_scope(DedupScope::cell, first, same_cell));
    EXPECT_FALSE(is_in_scope(DedupScope::cell, first, elsewhere));

    for (const DedupScope scope : every_scope) EXPECT_TRUE(is_in_scope(scope, first, first));
}

TEST(RetryPolicy, ClientMayAlwaysRetryRequestThatNeverRan) {
    for (const Idempotency idempotency : every_idempotency)
        for (const DedupScope scope : every_scope)
            for (const ClientRetryBasis basis : every_basis)
                EXPECT_TRUE(may_client_retry(class_of(idempotency, scope), false, basis));
}

TEST(RetryPolicy, ClientMayRetryRequestThatMayHaveRunIfIdempotentOrRecognisedByAllServers) {
    for (const DedupScope scope : every_scope) {
        for (const ClientRetryBasis basis : every_basis) {
            SCOPED_TRACE(testing::Message()
                         << "scope " << static_cast<int>(scope) << ", basis " << static_cast<int>(basis));
            const bool all_recognise_it =
                scope == DedupScope::all && basis == ClientRetryBasis::deduplication;
            EXPECT_TRUE(may_client_retry(class_of(Idempotency::idempotent, scope), true, basis));
            EXPECT_EQ(may_client_retry(class_of(Idempotency::keyed, scope), true, basis), all_recognise_it);
            EXPECT_FALSE(may_client_retry(class_of(Idempotency::non_idempotent, scope), true, basis));
        }
    }
}

TEST(RetryPolicy, OnlyOutcomesBeforeExecutionMeanNeverRan) {
    EXPECT_TRUE(never_ran(AttemptOutcome::at_capacity));
    EXPECT_TRUE(never_ran(AttemptOutcome::connect_failed));
    EXPECT_TRUE(never_ran(AttemptOutcome::not_sent));
    EXPECT_FALSE(never_ran(AttemptOutcome::completed));
    EXPECT_FALSE(never_ran(AttemptOutcome::error));
    EXPECT_FALSE(never_ran(AttemptOutcome::timed_out));
    EXPECT_FALSE(never_ran(AttemptOutcome::reset));
    EXPECT_FALSE(never_ran(AttemptOutcome::cancelled));
}

}  // namespace
}  // namespace headrouter::retry_policy
