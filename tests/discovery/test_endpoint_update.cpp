/// Tests the parsing of discovery's responses.
#include <gtest/gtest.h>

#include <chrono>

#include "base/parse_error.h"
#include "discovery/endpoint_update.h"

using namespace headrouter;

static const std::string settings = R"({"az":0,"discovery":"push","stepNs":2000000,
"ceilings":{"maxLegs":3,"retryAfter":true,"maxRetryAfterNs":1500000000,"dialTimeoutNs":150000000},
"invariants":{"coldNs":8700000000},"domain":{"groups":true,"tellsDelay":true,"messageAimNs":[60000000]},
"realms":[{"name":"x"}],"failureDomains":["a","b"],
"trafficTypes":[{"name":"chat","effect":"pure","setupTargetNs":800000000,"guardTimeNs":3200000000}]})";

TEST(EndpointUpdate, IsParsedWithZoneStateAndStartTime) {
    const ClusterConfig config = parse_cluster_config(settings);
    const Clock clock;
    const auto now_ms = std::chrono::duration_cast<std::chrono::milliseconds>(
                            std::chrono::system_clock::now().time_since_epoch())
                            .count();
    const EndpointUpdate update = parse_endpoint_update(
        R"({"generation":43,"reset":true,"instances":[{"instanceId":"s","hostPort":"127.0.0.1:80","zone":"b",
        "cell":3,"lifecycle":"DRAINING","weight":1.5,"startedAtMs":)" +
            std::to_string(now_ms) + R"(},{"instanceId":"t","lifecycle":"ODD"},7]})",
        config, clock);
    EXPECT_EQ(update.version, 43);
    EXPECT_TRUE(update.is_snapshot);
    EXPECT_EQ(update.entries.size(), 1u);
    EXPECT_EQ(update.unreadable_entries, 2);
    const Endpoint& endpoint = update.entries[0].endpoint;
    EXPECT_EQ(endpoint.zone, 1);
    EXPECT_EQ(endpoint.cell, 3);
    EXPECT_EQ(endpoint.state, EndpointState::draining);
    EXPECT_EQ(endpoint.weight, 1.5);
    EXPECT_TRUE(endpoint.launched);
    const Duration error = *endpoint.launched - Clock::now();
    EXPECT_LT(error, millis(50));
    EXPECT_GT(error, millis(-200));
}

TEST(EndpointUpdate, ThrowsOnMalformedResponse) {
    const ClusterConfig config = parse_cluster_config(settings);
    const Clock clock;
    for (const char* malformed :
         {"", "[]", "{}", R"({"generation":1,"reset":1,"instances":[]})", "{\"generation\":"}) {
        bool thrown = false;
        try {
            parse_endpoint_update(std::string(malformed), config, clock);
        } catch (const ParseError&) {
            thrown = true;
        }
        EXPECT_TRUE(thrown);
    }
}
