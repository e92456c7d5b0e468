/// Tests of attempt outcomes and silent servers through a complete balancer.
#include "proxy/balancer_fixture.h"

TEST(AttemptOutcomes, AttemptEndsWhenItsWaitingClientDisconnects) {
    BalancerFixture fixture;
    Peer client = fixture.connect_client();
    Peer server = fixture.accept_attempt();
    client.send_fin();
    EXPECT_TRUE(fixture.sees_close(server));
    EXPECT_EQ(fixture.count(Counter::requests_left_by_client), 1u);
    EXPECT_EQ(fixture.count(Counter::attempts_timed_out), 0u);
}

TEST(AttemptOutcomes, LastLineOrResetOfTheServerDeterminesTheOutcome) {
    for (const auto& [line, expected] : {std::pair{"ERR\r\n", Counter::attempts_error},
                                         {"SYNTAX\r\n", Counter::attempts_error},
                                         {"BUSY\r\n", Counter::attempts_at_capacity},
                                         {"MOVE\r\n", Counter::attempts_cancelled}}) {
        BalancerFixture fixture;
        Peer client = fixture.connect_client();
        Peer server = fixture.accept_attempt();
        server.write(line);
        EXPECT_TRUE(
            fixture.run_until([&fixture, counter = expected] { return fixture.count(counter) == 1; }));
    }
    BalancerFixture fixture;
    Peer client = fixture.connect_client();
    Peer server = fixture.accept_attempt();
    server.send_reset();
    EXPECT_TRUE(fixture.run_until([&] { return fixture.count(Counter::attempts_reset) == 1; }));
}

// A request whose server breaks off or never ends its first line must still get one whole line as its answer.
TEST(AttemptOutcomes, ClientIsAnsweredWhenItsServersFirstLineHasNoEnd) {
    enum class Ending { fin, reset, silence, too_long };
    for (const char* begun : {"UP 5be2", "U", "BYE", "BUSY", "MOVE", "LOAD 7", "?"}) {
        for (const Ending ending : {Ending::fin, Ending::reset, Ending::silence, Ending::too_long}) {
            BalancerFixture fixture;
            Peer client = fixture.connect_client();
            for (int attempt = 0; attempt < 2; ++attempt) {
                Peer server = fixture.accept_attempt();
                server.write(begun);
                fixture.run_for(millis(20));
                if (ending == Ending::fin) server.send_fin();
                if (ending == Ending::reset) server.send_reset();
                if (ending == Ending::too_long) server.write(std::string(5000, '7'));
                if (ending != Ending::reset) {
                    EXPECT_TRUE(fixture.sees_close(server)) << begun;
                }
            }
            EXPECT_TRUE(fixture.sees_close(client)) << begun;
            EXPECT_TRUE(client.received.starts_with("BUSY") && client.received.ends_with("\r\n"))
                << begun << " was answered with '" << client.received << "'";
            EXPECT_EQ(fixture.count(Counter::requests_established), 0u) << begun;
        }
    }
}

// The answer of the second server counts, not the part of a line that the first one sent.
TEST(AttemptOutcomes, RequestIsRetriedAfterAnIncompleteFirstLine) {
    BalancerFixture fixture;
    Peer client = fixture.connect_client();
    Peer first = fixture.accept_attempt();
    first.write("UP 5be2");
    first.send_fin();
    Peer second = fixture.accept_attempt();
    second.write("UP 77");
    fixture.run_for(millis(20));
    second.write("01\r\n");
    EXPECT_TRUE(fixture.receives(client, "\r\n"));
    EXPECT_EQ(client.received, "UP 7701\r\n");
    EXPECT_EQ(fixture.count(Counter::incomplete_responses), 1u);
    EXPECT_EQ(fixture.count(Counter::attempts_error), 1u);
}

// The servers know a repeat for the deduplication window only. A retry whose connection comes up after that
// window must not be sent: its server would run the request a second time.
TEST(AttemptOutcomes, RetryIsNotSentOnceItsDeduplicationWindowHasPassed) {
    BalancerFixture fixture({.effect = "token",
                             .dedup_window = millis(400),
                             .connect_timeout = millis(1500),
                             .guard_time = seconds(3)});
    Peer client = fixture.connect_client("c=chat,d=2900");
    Peer server = fixture.accept_attempt();
    const TimePoint sent = Clock::now();
    {
        const FullBacklog late_connections(fixture.server_listener);
        server.send_reset();
        fixture.run_for(millis(800));
        EXPECT_EQ(fixture.count(Counter::attempts_started), 2u);
    }
    client.read();
    EXPECT_TRUE(client.received.starts_with("BUSY"));  // all servers recognise a repeat: the client may retry
    EXPECT_EQ(fixture.count(Counter::attempts_not_sent), 1u);
    EXPECT_EQ(fixture.count(Counter::attempts_connect_failed), 0u);  // the server had no time to fail
    while (Clock::now() - sent < millis(2500)) {
        fixture.run_for(millis(10));
        if (std::optional<Peer> late = fixture.server_listener.try_accept()) {
            EXPECT_TRUE(fixture.sees_close(*late));
            EXPECT_EQ(late->received, "");
        }
    }
}

// The balancer finds out that the client has left when it forwards the server's line. Run under
// AddressSanitizer: the request must not be used after it was removed for that reason.
TEST(AttemptOutcomes, ClientThatResetsWhileItsServersLineArrivesEndsItsRequest) {
    for (const bool is_established : {false, true}) {
        BalancerFixture fixture;
        constexpr int requests = 16;
        std::vector<EstablishedRequest> pairs;
        for (int k = 0; k < requests; ++k) {
            if (is_established) {
                pairs.push_back(fixture.establish());
            } else {
                Peer client = fixture.connect_client();
                Peer server = fixture.accept_attempt();
                pairs.push_back({std::move(client), std::move(server)});
            }
        }
        // Both events are pending when the loop runs, and in both orders.
        for (int k = 0; k < requests; ++k) {
            if (k % 2 == 0) pairs[k].client.send_reset();
            pairs[k].server.write(is_established ? "a line\r\nand a part" : "UP r\r\n");
            if (k % 2 == 1) pairs[k].client.send_reset();
        }
        for (EstablishedRequest& pair : pairs) EXPECT_TRUE(fixture.sees_close(pair.server));
        EXPECT_TRUE(
            fixture.run_until([&] { return fixture.count(Counter::requests_left_by_client) == requests; }));
    }
}

TEST(AttemptOutcomes, AttemptsAtASilentServerTimeOutBeforeTheDeadline) {
    BalancerFixture fixture;
    Peer client = fixture.connect_client();
    const TimePoint begun = Clock::now();
    Peer server = fixture.accept_attempt();
    EXPECT_TRUE(fixture.receives(client, "BUSY"));
    EXPECT_EQ(fixture.count(Counter::attempts_timed_out), 2u);
    EXPECT_LT(Clock::now() - begun, millis(950));  // soon enough for the client, whose deadline is 900 ms
}

TEST(AttemptOutcomes, RefusedConnectCountsAsConnectFailed) {
    Listener gone;
    gone.fd.close();
    BalancerFixture fixture({.server_address = gone.address});
    Peer client = fixture.connect_client();
    EXPECT_TRUE(fixture.receives(client, "BUSY"));
    EXPECT_EQ(fixture.count(Counter::attempts_connect_failed), 2u);
}

TEST(AttemptOutcomes, ClientOfASilentServerIsMigrated) {
    BalancerFixture fixture;
    auto [client, server] = fixture.establish();
    client.write("anyone?\r\n");
    fixture.run_for(seconds(1.2));
    client.read();
    EXPECT_TRUE(client.received.empty());
    EXPECT_TRUE(fixture.receives(client, "MOVE\r\n"));
    EXPECT_TRUE(fixture.sees_close(client));
    EXPECT_TRUE(client.saw_fin);
    EXPECT_EQ(fixture.count(Counter::servers_silent), 1u);
}

// A single silent connection is detected 1.5 s after its client's next line. A server that is silent on all
// its connections must be detected sooner.
TEST(AttemptOutcomes, ServerSilentOnAllConnectionsIsDetectedSooner) {
    BalancerFixture fixture;
    auto [first_client, first_server] = fixture.establish();
    auto [second_client, second_server] = fixture.establish();
    auto [third_client, third_server] = fixture.establish();
    const TimePoint begun = Clock::now();
    first_client.write("a\r\n");
    second_client.write("b\r\n");
    for (int k = 0; k < 10; ++k) {
        fixture.run_for(seconds(0.1));
        third_server.write("busy, but there\r\n");
    }
    first_client.read();
    second_client.read();
    EXPECT_TRUE(first_client.received.empty());
    EXPECT_TRUE(second_client.received.empty());
    for (Peer* client : {&first_client, &second_client})
        EXPECT_TRUE(fixture.receives(*client, "MOVE\r\n"));  // each connection exceeded its own silence limit
    EXPECT_GT(Clock::now() - begun, seconds(1.4));
    auto [fourth_client, fourth_server] = fixture.establish();
    fixture.run_for(seconds(0.1));
    const TimePoint quiet_from = Clock::now();
    third_client.write("c\r\n");
    fourth_client.write("d\r\n");
    auto [fifth_client, fifth_server] = fixture.establish();  // established while the others are silent
    for (Peer* client : {&third_client, &fourth_client, &fifth_client})
        EXPECT_TRUE(fixture.receives(*client, "MOVE\r\n"));
    EXPECT_LT(Clock::now() - quiet_from, seconds(1.2));
    EXPECT_EQ(fixture.count(Counter::servers_silent), 5u);
}
