/// Test with clients that open connections as fast as they can and leave each at once.
#include "proxy/hostile_clients_fixture.h"

// Guards against usual clients that wait behind connections whose clients have left.
TEST(ConnectionFlood, OthersAreServedInTimeBesideConnectionsThatAreLeftAtOnce) {
    for (const int clients : {1, 6}) {
        SCOPED_TRACE(clients);
        HostileClientsFixture fixture;
        Duration longest;
        {
            std::vector<std::unique_ptr<FloodingClient>> flooding;
            for (int k = 0; k < clients; ++k)
                flooding.push_back(
                    std::make_unique<FloodingClient>(fixture.listen_address, Flood::leaves_at_once));
            fixture.run_for(millis(200));
            longest = fixture.expect_requests_in_time(seconds(3));
        }
        fixture.report(std::to_string(clients) + " x connections left at once", longest);
        EXPECT_LE(peak_memory_mb(fixture.balancer.pid), memory_limit_mb);
    }
}
