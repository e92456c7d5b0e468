// Tests the loads of request classes that are learnt from load reports.
#include <gtest/gtest.h>

#include "load/request_class_loads.h"

using headrouter::RequestClassLoads;

TEST(RequestClassLoads, ReturnsLoadsInUnitsOfTheMeanConnection) {
    RequestClassLoads loads;
    loads.resize(3);
    EXPECT_EQ(loads.mean_unit(), 1);
    EXPECT_EQ(loads.relative_load(0), 1);
    loads.add_report(0, 100);
    loads.add_report(0, 200);
    loads.add_report(1, 600);
    EXPECT_EQ(loads.mean_unit(), 300);
    EXPECT_EQ(loads.relative_load(0), 0.5);
    EXPECT_EQ(loads.relative_load(1), 2);
    EXPECT_EQ(loads.relative_load(2), 1);  // no report of this class yet
}

TEST(RequestClassLoads, RecentReportsOutweighOldOnes) {
    RequestClassLoads loads;
    loads.resize(1);
    for (int k = 0; k < 10'000; ++k) loads.add_report(0, 100);
    for (int k = 0; k < 2'000; ++k) loads.add_report(0, 500);
    EXPECT_GT(loads.mean_unit(), 490);
}

TEST(RequestClassLoads, AddingAClassLeavesOtherClassesUnchanged) {
    RequestClassLoads loads;
    loads.resize(1);
    loads.add_report(0, 50);
    loads.resize(2);
    EXPECT_EQ(loads.mean_unit(), 50);
    EXPECT_EQ(loads.relative_load(0), 1);
    EXPECT_EQ(loads.relative_load(1), 1);
}
