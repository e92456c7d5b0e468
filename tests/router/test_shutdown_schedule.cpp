// Tests when a graceful shutdown drains and ends, and how it paces migrations.
#include <gtest/gtest.h>

#include "router/shutdown_schedule.h"

using namespace headrouter;
using Order = ShutdownSchedule::Order;

static const TimePoint start = TimePoint{} + seconds(100);

TEST(ShutdownSchedule, IsNotDrainingBeforeStart) {
    const ShutdownSchedule schedule;
    EXPECT_FALSE(schedule.is_draining(start));
}

TEST(ShutdownSchedule, OrderIsLastIfManyRequestsReconnectedRecently) {
    EXPECT_EQ(ShutdownSchedule::order_for(0, 0), Order::first);
    EXPECT_EQ(ShutdownSchedule::order_for(1.9, 0), Order::first);
    EXPECT_EQ(ShutdownSchedule::order_for(2, 0), Order::last);
    EXPECT_EQ(ShutdownSchedule::order_for(39, 100), Order::first);
    EXPECT_EQ(ShutdownSchedule::order_for(40, 100), Order::last);
}

TEST(ShutdownSchedule, DrainsInFirstHalfOrInLastThirdDependingOnOrder) {
    ShutdownSchedule first;
    first.start(start, seconds(3), Order::first);
    EXPECT_FALSE(first.is_draining(start + shutdown_accept_period - millis(1)));
    EXPECT_TRUE(first.is_draining(start + shutdown_accept_period));
    EXPECT_FALSE(first.is_over(start + seconds(1.499)));
    EXPECT_TRUE(first.is_over(start + seconds(1.5)));

    ShutdownSchedule last;
    last.start(start, seconds(3), Order::last);
    EXPECT_FALSE(last.is_draining(start + seconds(1.97)));
    EXPECT_TRUE(last.is_draining(start + seconds(1.99)));
    EXPECT_FALSE(last.is_over(start + seconds(2.999)));
    EXPECT_TRUE(last.is_over(start + seconds(3)));
}

TEST(ShutdownSchedule, SpreadsMigrationsEvenlyOverRemainingTime) {
    ShutdownSchedule schedule;
    schedule.start(start, seconds(3), Order::first);
    const TimePoint one_second_before_end = start + seconds(0.5);
    EXPECT_EQ(schedule.migrations_due(one_second_before_end, 0), 0u);
    EXPECT_EQ(schedule.migrations_due(one_second_before_end, 1), 1u);
    EXPECT_EQ(schedule.migrations_due(one_second_before_end, 105), 11u);
    EXPECT_EQ(schedule.migrations_due(start + seconds(1.5), 105), 105u);
}
