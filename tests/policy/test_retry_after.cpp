// Tests how long rejected clients are told to wait.
#include <gtest/gtest.h>

#include <algorithm>

#include "policy/retry_after.h"

namespace headrouter {
namespace {

PolicyConfig config_with_max(Duration max_retry_after) {
    PolicyConfig config;
    config.advises_retry_after = true;
    config.max_retry_after = max_retry_after;
    return config;
}

TEST(RetryAfter, IsDistributedBetweenMinFractionAndMaxRetryAfter) {
    const PolicyConfig config = config_with_max(seconds(2));
    Pcg32 random(1);
    Duration shortest = seconds(1000);
    Duration longest;
    for (int k = 0; k < 1000; ++k) {
        const Duration drawn = random_retry_after(config, random);
        shortest = std::min(shortest, drawn);
        longest = std::max(longest, drawn);
    }
    EXPECT_GE(shortest, seconds(0.6));
    EXPECT_LT(shortest, seconds(0.62));
    EXPECT_LE(longest, seconds(2));
    EXPECT_GT(longest, seconds(1.98));
}

TEST(RetryAfter, IsZeroAndDrawsNothingWhenAdviceIsOff) {
    PolicyConfig config = config_with_max(seconds(2));
    config.advises_retry_after = false;
    Pcg32 random(1);
    Pcg32 untouched(1);
    EXPECT_EQ(random_retry_after(config, random), Duration{});
    EXPECT_EQ(random.next(), untouched.next());
}

TEST(RetryAfter, ShortageGivesFixedFractionWhetherAdviceIsOnOrOff) {
    PolicyConfig config = config_with_max(seconds(2));
    EXPECT_EQ(shortage_retry_after(config), seconds(0.4));
    config.advises_retry_after = false;
    EXPECT_EQ(shortage_retry_after(config), seconds(0.4));
}

}  // namespace
}  // namespace headrouter
