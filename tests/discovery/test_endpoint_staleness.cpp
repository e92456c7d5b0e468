/// Tests of the decision whether the endpoint list is too old to rely on.
#include <gtest/gtest.h>

#include "discovery/endpoint_staleness.h"

using namespace headrouter;

namespace {

constexpr TimePoint start{1'000'000'000'000};

TimePoint after(double s) { return start + seconds(s); }

}  // namespace

// Guards against requests to servers whose drain the local agent has, sent by a process that has only its
// stored list.
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

// A request may be sent late by a hold-up of 0.15 s, and the first moment of a process precedes its clock.
TEST(EndpointStaleness, UseOfAnUnconfirmedListEndsBeforeTheDrainGrace) {
    EXPECT_GT(unconfirmed_use_time(seconds(3)), seconds(2.5));
    EXPECT_LE(unconfirmed_use_time(seconds(3)), seconds(2.85));
    EXPECT_LE(unconfirmed_use_time(seconds(0.5)), seconds(0.35));
    EXPECT_EQ(unconfirmed_use_time(seconds(0.1)), Duration{});
}
