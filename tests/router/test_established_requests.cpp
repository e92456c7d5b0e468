/// Tests established requests: forwarding, migration, closing of connections, graceful shutdown.
#include "router/router_fixture.h"

TEST(EstablishedRequests, DelaysMigrationUntilServerLineIsComplete) {
    RouterFixture fixture;
    fixture.establish(1);
    fixture.router.on_server_bytes(1, std::string(4096, 'x'), false);
    fixture.router.begin_graceful_shutdown(Duration{});
    fixture.advance_and_tick(millis(450));
    EXPECT_EQ(fixture.downstream.actions.size(), 1u);
    fixture.router.on_server_bytes(1, "x\r\n", true);
    EXPECT_EQ(fixture.downstream.actions.back(), "reply 1 MOVE\r\n");
    EXPECT_EQ(fixture.upstream.actions.back(), "close");
    EXPECT_TRUE(fixture.router.is_drained());
    EXPECT_EQ(fixture.counters[Counter::requests_migrated], 1);
}

TEST(EstablishedRequests, ClosesClientIfServerLineStaysIncompleteDuringShutdown) {
    RouterFixture fixture;
    fixture.establish(1);
    fixture.router.on_server_bytes(1, "half", false);
    fixture.router.begin_graceful_shutdown(Duration{});
    fixture.advance_and_tick(millis(450));
    fixture.advance_and_tick(seconds(1));
    EXPECT_EQ(fixture.downstream.actions.back(), "close 1");
    EXPECT_TRUE(fixture.router.is_drained());
}

TEST(EstablishedRequests, MigratesClientIfServerIsSilent) {
    RouterFixture fixture;
    fixture.establish(1);
    fixture.router.on_attempt_ended(1, {AttemptOutcome::reset, CloseReason::fin, true, {}});
    EXPECT_EQ(fixture.downstream.actions, Lines{"reply 1 MOVE\r\n"});
}

TEST(EstablishedRequests, ForwardsFinAndResetToTheOtherConnection) {
    RouterFixture fixture;
    fixture.establish(1);
    fixture.establish(2);
    fixture.establish(3);
    fixture.reset_attempt(1);
    EXPECT_EQ(fixture.downstream.actions.back(), "reset 1");
    fixture.router.on_client_closed(2, CloseReason::reset);
    EXPECT_EQ(fixture.upstream.actions.back(), "reset");
    fixture.router.on_client_closed(3, CloseReason::fin);
    EXPECT_EQ(fixture.upstream.actions.back(), "close");
    EXPECT_TRUE(fixture.router.is_drained());
}

TEST(EstablishedRequests, PausesServerReadsWhileClientDoesNotRead) {
    RouterFixture fixture;
    fixture.establish(1);
    fixture.downstream.unsent = unsent_high_watermark + 1;
    fixture.router.on_server_bytes(1, "x\r\n", true);
    EXPECT_EQ(fixture.upstream.actions.back(), "pause");
    fixture.downstream.unsent = 0;
    fixture.router.on_client_writable(1);
    EXPECT_EQ(fixture.upstream.actions.back(), "resume");
}

TEST(EstablishedRequests, ServesNewRequestsDuringAcceptPeriodOfShutdownThenMigratesGradually) {
    for (const bool are_reconnects : {false, true}) {
        RouterFixture fixture;
        for (RequestId id = 1; id <= 20; ++id)
            fixture.establish(id, are_reconnects ? "c=chat,t=x,d=2000,g=q,again=1" : chat_request);
        fixture.router.begin_graceful_shutdown(seconds(3));
        fixture.establish(21);
        fixture.router.on_tick();
        EXPECT_TRUE(fixture.downstream.actions.empty());
        // Reconnected clients come from a balancer that shut down before this one: that balancer must be
        // serving again before this one migrates them.
        fixture.advance_and_tick(seconds(are_reconnects ? 1.9 : 0.5));
        EXPECT_EQ(fixture.downstream.actions.empty(), are_reconnects);
        fixture.advance(millis(100));
        fixture.open(99);
        EXPECT_EQ(fixture.downstream.actions.back(), "reply 99 BUSY\r\n");
        fixture.router.on_tick();
        EXPECT_GE(fixture.counters[Counter::requests_migrated], 1);
        EXPECT_LE(fixture.counters[Counter::requests_migrated], 8);
        fixture.advance_and_tick(seconds(1));
        EXPECT_TRUE(fixture.router.is_drained());
        EXPECT_EQ(fixture.counters[Counter::requests_migrated], 21);
    }
}
