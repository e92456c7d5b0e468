/// Tests the router's values for the METRICS command.
#include "router/router_fixture.h"

// Covers the ways in which a request can end. Each accepted request must be counted once, whatever the
// outcomes of its attempts; a request left by its client is counted under no outcome.
TEST(RouterMetrics, CountsEachRequestOnceHoweverItEnds) {
    RouterFixture fixture;
    const auto count = [&](admin::SetupOutcome outcome, int request_class) {
        return fixture.router.metrics().setups.by_class(outcome)[request_class];
    };
    fixture.establish(1);
    fixture.establish(2, pay_request);
    fixture.router.on_attempt_written(1);
    fixture.router.on_attempt_written(2);
    fixture.open(3);  // rejected by every server
    for (int k = 0; k < 3; ++k) {
        fixture.router.on_attempt_written(3);
        fixture.reject_attempt(3, "BUSY\r\n");
    }
    fixture.open(4, pay_request);  // non-idempotent and may have run
    fixture.reset_attempt(4);
    fixture.open(5);
    fixture.router.on_client_closed(5, CloseReason::reset);  // left by the client: counted under no outcome
    fixture.open(6);
    fixture.router.on_early_client_data(6);
    fixture.open(7);
    fixture.end_attempt(7, AttemptOutcome::completed, CloseReason::fin, "BYE\r\n");
    fixture.open(8);
    fixture.advance_and_tick(seconds(3));  // the end of its attempt is never reported
    fixture.open(9, "c=chat,t=x,d=5,g=q,at=s1");
    fixture.router.on_attempt_established(9, "UP r\r\n");  // established before this process started
    fixture.open(10, "c=none,t=x,d=5,g=q");
    fixture.has_memory = false;
    fixture.open(11);
    fixture.has_memory = true;
    EXPECT_EQ(fixture.router.metrics().outstanding, 3);
    EXPECT_EQ(fixture.router.metrics().setups.forwards(), 5);
    EXPECT_EQ(count(admin::SetupOutcome::succeeded, 0), 1);
    EXPECT_EQ(count(admin::SetupOutcome::succeeded, 1), 1);
    EXPECT_EQ(count(admin::SetupOutcome::declined, 0), 2);
    EXPECT_EQ(count(admin::SetupOutcome::declined, 1), 0);
    EXPECT_EQ(count(admin::SetupOutcome::aborted, 0), 3);
    EXPECT_EQ(count(admin::SetupOutcome::aborted, 1), 1);
    fixture.reset_attempt(1);  // reset after it was established
    fixture.router.begin_graceful_shutdown(Duration{});
    fixture.advance(millis(450));
    fixture.open(12);
    fixture.router.on_tick();
    EXPECT_EQ(fixture.router.metrics().outstanding, 0);
    EXPECT_EQ(count(admin::SetupOutcome::declined, 0), 3);
    EXPECT_EQ(count(admin::SetupOutcome::succeeded, 0), 1);
    EXPECT_EQ(count(admin::SetupOutcome::aborted, 0), 3);
}

TEST(RouterMetrics, CountsDrainingEndpointAsEjectedAndDeletedEndpointAsGone) {
    RouterFixture fixture;
    EXPECT_EQ(fixture.router.metrics().discovered, 2);
    EXPECT_EQ(fixture.router.metrics().ejected, 0);
    fixture.update_endpoint(false, "s1", "DRAINING");
    EXPECT_EQ(fixture.router.metrics().discovered, 2);
    EXPECT_EQ(fixture.router.metrics().ejected, 1);
    fixture.update_endpoint(false, "s1", "DELETED");
    EXPECT_EQ(fixture.router.metrics().discovered, 1);
    EXPECT_EQ(fixture.router.metrics().ejected, 0);
}
