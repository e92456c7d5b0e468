// Tests LoadLimit and SurplusDrain of one server in isolation.
#include <gtest/gtest.h>

#include "policy/load_limit.h"
#include "policy/surplus_drain.h"

using namespace headrouter;

namespace {

constexpr TimePoint start{1'000'000'000'000};
constexpr Duration objective = millis(50);
constexpr LoadLimit::Usage twenty{20, 20, 20};

}  // namespace

TEST(LoadLimit, LimitsServerToItsLoadWhenLatencyMeetsObjective) {
    LoadLimit limit;
    Pcg32 random(1);
    EXPECT_EQ(limit.at(start, 20), std::nullopt);
    const LoadLimit::Surplus surplus = limit.on_latency_report(start, 0.03, objective, twenty, random);
    EXPECT_EQ(surplus.connections, 0);
    EXPECT_EQ(limit.at(start, 20), 20);
    EXPECT_EQ(limit.rounding(), 0);
}

TEST(LoadLimit, LowersLimitAndReturnsSurplusWhenServerIsSlow) {
    LoadLimit limit;
    Pcg32 random(1);
    const LoadLimit::Surplus surplus = limit.on_latency_report(start, 0.6, objective, twenty, random);
    EXPECT_GE(surplus.connections, 10);  // demand is 1.6 times the capacity; the wanted utilization is 0.73
    EXPECT_LE(surplus.connections, 11);
    EXPECT_DOUBLE_EQ(surplus.load, surplus.connections);
    EXPECT_DOUBLE_EQ(limit.at(start, 20).value(), 20 - surplus.load);
    EXPECT_FALSE(limit.has_steady_low_latency());
}

TEST(LoadLimit, LimitRisesAndExpiresAfterThirtySeconds) {
    LoadLimit limit;
    limit.on_reset(start, 5, 20);
    EXPECT_EQ(limit.at(start, 20), 5);
    // The limit rises by 1/25 of the full share each second.
    EXPECT_DOUBLE_EQ(limit.at(start + seconds(10), 20).value(), 13);
    EXPECT_EQ(limit.at(start + seconds(31), 20), std::nullopt);
    limit.clear();
    EXPECT_EQ(limit.at(start, 20), std::nullopt);
}

TEST(LoadLimit, SetsNoLimitWhenLoadIsBelowZero) {
    LoadLimit limit;
    limit.on_reset(start, -1e-15, 20);  // rounding error of sums of added and removed loads
    EXPECT_FALSE(limit.is_set());
    EXPECT_EQ(limit.at(start, 20), std::nullopt);
    limit.on_reset(start, 0, 20);
    EXPECT_EQ(limit.at(start, 20), 0);
}

TEST(LoadLimit, KeepsSeventyPercentOfFullShareWhenLatencyIsLowAndSteady) {
    LoadLimit limit;
    Pcg32 random(1);
    limit.on_latency_report(start, 0.03, objective, {2, 2, 20}, random);
    EXPECT_FALSE(limit.has_steady_low_latency());  // there is no earlier report to compare with
    limit.on_latency_report(start + seconds(1), 0.03, objective, {2, 2, 20}, random);
    EXPECT_TRUE(limit.has_steady_low_latency());
    EXPECT_DOUBLE_EQ(limit.at(start + seconds(1), 20).value(), 14);
}

TEST(SurplusDrain, MigratesInStepsUntilNoSurplusRemains) {
    SurplusDrain drain;
    Pcg32 random(1);
    const auto first = drain.start(start, 2, 2, seconds(4), random);
    ASSERT_TRUE(first.has_value());
    EXPECT_GT(*first, start);
    EXPECT_LT(*first, start + seconds(2));
    EXPECT_FALSE(drain.start(start, 2, 2, seconds(4), random).has_value());  // a drain is active already
    EXPECT_TRUE(drain.begin_step());
    EXPECT_EQ(drain.end_step(*first, 1), *first + seconds(2));
    EXPECT_TRUE(drain.begin_step());
    EXPECT_FALSE(drain.end_step(*first + seconds(2), 1).has_value());
    EXPECT_FALSE(drain.begin_step());
}

TEST(SurplusDrain, ReturnsLargestExcessOfLastSixCycles) {
    SurplusDrain drain;
    EXPECT_EQ(drain.record_excess(start, 18), 18);
    EXPECT_EQ(drain.record_excess(start + seconds(50), 11), 18);
    EXPECT_EQ(drain.record_excess(start + seconds(60), 12), 12);
    drain.forget_excess();
    EXPECT_EQ(drain.record_excess(start + seconds(60), 1), 1);
}
