// Tests the limits of retries: the retry budget and the rate of early resets.
#include <gtest/gtest.h>

#include "retry/early_reset_rate.h"
#include "retry/retry_budget.h"

using namespace headrouter;

namespace {
constexpr TimePoint start{1'000'000'000'000};
}  // namespace

TEST(RetryBudget, TwoRetriesAreAllowedWithoutTraffic) {
    RetryBudget budget;
    EXPECT_TRUE(budget.allows_retry(start));
    budget.on_retry(start);
    EXPECT_TRUE(budget.allows_retry(start));
    budget.on_retry(start);
    EXPECT_FALSE(budget.allows_retry(start));
    EXPECT_TRUE(budget.allows_retry(start + seconds(5)));
}

TEST(RetryBudget, OneRequestInFiveMayBeRetried) {
    RetryBudget budget;
    for (int k = 0; k < 100; ++k) budget.on_request(start);
    int retries = 0;
    for (; retries < 100 && budget.allows_retry(start); ++retries) budget.on_retry(start);
    EXPECT_EQ(retries, 22);  // including the two that are always allowed
}

TEST(EarlyResetRate, OnlyResetsOfNewConnectionsCount) {
    EarlyResetRate rate;
    EXPECT_EQ(rate.rate(start), 0);
    for (int k = 0; k < 9; ++k) rate.on_established(start);
    for (int k = 0; k < 5; ++k) rate.on_reset(start + seconds(1), start);
    EXPECT_EQ(rate.rate(start + seconds(1)), 0.5);
    rate.on_reset(start + seconds(1), start - seconds(4));  // sent a whole window before
    EXPECT_EQ(rate.rate(start + seconds(1)), 0.5);
    EXPECT_EQ(rate.rate(start + seconds(20)), 0);
}
