/// Tests of the endpoint list from discovery through a complete balancer.
#include "proxy/balancer_fixture.h"

TEST(DiscoveryWatch, FollowsTheEndpointListThroughDiscoveryFaults) {
    BalancerFixture fixture;
    EXPECT_TRUE(fixture.receives(fixture.discovery, "GET /v1/servers HTTP/1.1\r\n"));
    fixture.discovery.received.clear();
    fixture.send_endpoints(R"({"generation":5,"reset":true,"instances":[{"instanceId":"t","hostPort":")" +
                           fixture.server_listener.address + R"(","lifecycle":"SERVING"}]})");
    EXPECT_TRUE(fixture.receives(fixture.discovery, "GET /v1/servers?since=5&timeout_ms=500 HTTP/1.1\r\n"));
    fixture.send_endpoints("{\"generation\":");
    // After a malformed answer the balancer requests the whole list over a new connection.
    fixture.discovery = fixture.accept(fixture.discovery_listener);
    EXPECT_TRUE(fixture.receives(fixture.discovery, "GET /v1/servers HTTP/1.1\r\n"));
    EXPECT_EQ(fixture.count(Counter::endpoint_updates_malformed), 1u);
    fixture.discovery.write("SSH-2.0\r\n");
    fixture.discovery = fixture.accept(fixture.discovery_listener);
    // After a request without an answer it polls again over a new connection.
    fixture.discovery = fixture.accept(fixture.discovery_listener);
    EXPECT_TRUE(fixture.receives(fixture.discovery, "GET /v1/servers HTTP/1.1\r\n"));
    EXPECT_EQ(fixture.count(Counter::discovery_requests_failed), 3u);
    fixture.send_endpoints(R"({"generation":6,"reset":true,"instances":[]})");
    EXPECT_TRUE(fixture.run_until([&] { return fixture.count(Counter::endpoint_updates) == 2; }));
    Peer client = fixture.connect_client();  // queued, as there is no server, and answered in time
    EXPECT_TRUE(fixture.receives(client, "BUSY"));
    EXPECT_EQ(fixture.count(Counter::attempts_started), 0u);
}

// Guards against balancers that all poll a shared discovery at once: a balancer that is rejected backs off.
TEST(DiscoveryWatch, PollsASharedDiscoveryOnceAndBacksOffAfterARejection) {
    BalancerFixture fixture({.discovery_mode = "ask"});
    EXPECT_TRUE(fixture.receives(fixture.discovery, "GET /v1/servers?since=1&timeout_ms=1500 HTTP/1.1\r\n"));
    fixture.run_for(seconds(0.9));  // a pending watch does not count as silent
    fixture.send_endpoints(R"({"generation":0,"reset":false,"instances":[]})");  // its versions restart
    fixture.discovery = fixture.accept(fixture.discovery_listener);
    EXPECT_TRUE(fixture.receives(fixture.discovery, "GET /v1/servers HTTP/1.1\r\n"));
    fixture.send_endpoints(R"({"generation":1,"reset":true,"instances":[]})");
    EXPECT_TRUE(fixture.receives(fixture.discovery, "GET /v1/servers?since=1&timeout_ms=1500 HTTP/1.1\r\n"));
    fixture.discovery.write(
        "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
    EXPECT_TRUE(fixture.sees_close(fixture.discovery));
    EXPECT_EQ(fixture.count(Counter::discovery_requests_failed), 2u);
    const TimePoint rejected_at = Clock::now();
    EXPECT_TRUE(fixture.run_until([&] { return Clock::now() - rejected_at > seconds(0.7); }));
    EXPECT_FALSE(fixture.discovery_listener.try_accept());
    std::optional<Peer> next;
    for (int times = 0; times < 3 && !next; ++times)
        fixture.run_until([&] {
            next = fixture.discovery_listener.try_accept();
            return next.has_value();
        });
    ASSERT_TRUE(next);
    EXPECT_TRUE(fixture.receives(*next, "GET /v1/servers?since=1&timeout_ms=1500 HTTP/1.1\r\n"));
}

// A Retry-After in seconds is honoured, with jitter; any other value is ignored.
TEST(DiscoveryWatch, HonoursTheRetryAfterOfARejectingDiscovery) {
    for (const auto& [header, min_seconds, max_seconds] :
         {std::tuple{"Retry-After: 1\r\n", 0.95, 2.1},
          {"retry-after: Fri, 31 Dec 1999 23:59:59 GMT\r\n", 0.0, 0.6},
          {"Retry-After: -7\r\n", 0.0, 0.6}}) {
        BalancerFixture fixture;
        EXPECT_TRUE(fixture.receives(fixture.discovery, "GET /v1/servers"));
        fixture.discovery.write("HTTP/1.1 503 Busy\r\nX-A: 9\r\nRe");
        fixture.run_for(seconds(0.02));
        fixture.discovery.write(std::string(header).substr(2) +
                                "Content-Length: 0\r\nConnection: close\r\n\r\n");
        EXPECT_TRUE(fixture.sees_close(fixture.discovery));
        const TimePoint begun = Clock::now();
        fixture.run_for(seconds(min_seconds));
        std::optional<Peer> next = fixture.discovery_listener.try_accept();
        EXPECT_TRUE(!next || min_seconds == 0.0);
        while (!next && Clock::now() - begun < seconds(max_seconds)) {
            fixture.run_for(millis(10));
            next = fixture.discovery_listener.try_accept();
        }
        EXPECT_TRUE(next);
    }
}
