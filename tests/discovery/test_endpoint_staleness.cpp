/// Tests of the decision whether the endpoint list is too old to rely on.
#include <gtest/gtest.h>

#include "discovery/endpoint_staleness.h"

using namespace headrouter;

namespace {

constexpr TimePoint start{1'000'000'000'000};

TimePoint after(double s) { return start + seconds(s); }

}  // namespace

// Guards against requests to servers whose drain the local agent has, sent by a process that has only its
// cached list.
TEST(EndpointStaleness, UnconfirmedListIsStaleFromItsTimeOnHoweverRequestsFail) {
    for (const bool was_reached : {true, false}) {
        EndpointStaleness staleness = EndpointStaleness::unconfirmed(start, after(0.5));
        EXPECT_FALSE(staleness.is_stale(after(0.5)));
        staleness.on_request_failed(after(0.1), was_reached);
        EXPECT_FALSE(staleness.is_stale(after(0.5)));
        EXPECT_TRUE(staleness.is_stale(after(0.51)));
        staleness.on_request_failed(after(0.6), was_reached);
        staleness.on_request_failed(after(20), was_reached);
        EXPECT_TRUE(staleness.is_stale(after(30)));
        staleness.on_list_received(after(30));
        EXPECT_FALSE(staleness.is_stale(after(100)));
    }
}

// Guards against requests to servers whose drain counts as known 4 s after a new configuration, while the new
// address rejects requests.
TEST(EndpointStaleness, ListIsStaleFourSecondsAfterANewConfigurationIfDiscoveryCanBeReached) {
    EndpointStaleness rejected = EndpointStaleness::reconfigured(start);
    rejected.on_request_failed(after(0.1), true);
    EXPECT_FALSE(rejected.is_stale(after(3.8)));
    EXPECT_TRUE(rejected.is_stale(after(4)));
    rejected.on_list_received(after(5));
    rejected.on_request_failed(after(6), true);
    EXPECT_FALSE(rejected.is_stale(after(10.8)));  // now the usual time holds
    EXPECT_TRUE(rejected.is_stale(after(11)));

    EndpointStaleness unreachable = EndpointStaleness::reconfigured(start);
    unreachable.on_request_failed(after(3), false);
    EXPECT_FALSE(unreachable.is_stale(after(60)));  // a mistyped address must not stop the balancer
    unreachable.on_request_failed(after(60), true);
    EXPECT_TRUE(unreachable.is_stale(after(60)));

    EndpointStaleness limited = EndpointStaleness::reconfigured(start);
    limited.limit(after(1));
    EXPECT_TRUE(limited.is_stale(after(1.01)));
}

// The process that takes over asks the new address anew; the 4 s must not begin again.
TEST(EndpointStaleness, StateOfAPendingReconfigurationKeepsItsTimeLimit) {
    EndpointStaleness taken_over(EndpointStaleness::reconfigured(start).state());
    taken_over.on_request_failed(after(3), true);
    EXPECT_FALSE(taken_over.is_stale(after(3.8)));
    EXPECT_TRUE(taken_over.is_stale(after(4)));
}

// Guards against a service that rejects requests so late that each counts as unreachable when it is overdue.
TEST(EndpointStaleness, LateRejectionCountsFromTheTimeAtWhichItsRequestWasSent) {
    EndpointStaleness slow(start);
    slow.on_request_failed(after(4), false);
    slow.on_late_failure(after(1));
    EXPECT_FALSE(slow.is_stale(after(6.8)));
    EXPECT_TRUE(slow.is_stale(after(7)));
    slow.on_list_received(after(8));
    slow.on_late_failure(after(2));  // sent before the list was received
    EXPECT_FALSE(slow.is_stale(after(13.8)));
    EXPECT_TRUE(slow.is_stale(after(14)));
}

// A request may be sent late by a hold-up of 0.15 s, and the first moment of a process precedes its clock.
TEST(EndpointStaleness, UseOfAnUnconfirmedListEndsBeforeTheDrainGrace) {
    EXPECT_GT(unconfirmed_use_time(seconds(3)), seconds(2.5));
    EXPECT_LE(unconfirmed_use_time(seconds(3)), seconds(2.85));
    EXPECT_LE(unconfirmed_use_time(seconds(0.5)), seconds(0.35));
    EXPECT_EQ(unconfirmed_use_time(seconds(0.1)), Duration{});
}
