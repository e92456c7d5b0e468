// Tests which servers take new requests, and which may get an attempt now.
#include <gtest/gtest.h>

#include "policy/eligibility.h"

using namespace headrouter;

namespace {

constexpr TimePoint now{1'000'000'000'000};

ServerState make_server(EndpointState state) {
    ServerState server;
    server.endpoint.state = state;
    return server;
}

}  // namespace

TEST(Eligibility, OnlyActiveServersTakeNewRequests) {
    static_assert(eligibility::takes_new_requests(EndpointState::active));
    static_assert(!eligibility::takes_new_requests(EndpointState::draining));
    static_assert(!eligibility::takes_new_requests(EndpointState::removed));
    EXPECT_TRUE(eligibility::is_selectable(now, make_server(EndpointState::active)));
    EXPECT_FALSE(eligibility::is_selectable(now, make_server(EndpointState::draining)));
    EXPECT_FALSE(eligibility::is_selectable(now, make_server(EndpointState::removed)));
}

TEST(Eligibility, FailingServerAllowsOneAttemptAtATimeAfterBackoff) {
    ServerState server = make_server(EndpointState::active);
    server.outliers.on_failure(now, OutlierDetector::penalty_failed);
    EXPECT_FALSE(eligibility::is_selectable(now, server));
    const TimePoint after_backoff = now + seconds(1);
    EXPECT_TRUE(eligibility::is_selectable(after_backoff, server));
    server.pending_attempts = 1;
    EXPECT_FALSE(eligibility::is_selectable(after_backoff, server));
}

TEST(Eligibility, CountsListedServersThatAreNotSelectable) {
    const PolicyConfig config;
    ServerTable servers(config);
    servers.begin_update();
    servers.apply({"active", 1, EndpointState::active, 0, 0, {}});
    servers.apply({"draining", 1, EndpointState::draining, 0, 0, {}});
    servers.apply({"removed", 1, EndpointState::removed, 0, 0, {}});
    const ServerIndex failing = servers.apply({"failing", 1, EndpointState::active, 0, 0, {}}).server;
    servers.end_update(true);
    servers[failing].outliers.on_failure(now, OutlierDetector::penalty_failed);
    EXPECT_EQ(eligibility::count_unselectable(now, servers), 2);  // the draining and the failing server
}
