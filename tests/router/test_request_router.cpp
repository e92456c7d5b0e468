/// Tests requests until they are established or answered.
#include "router/router_fixture.h"

TEST(RequestRouter, ForwardsBetweenClientAndServerUntilRequestCompletes) {
    RouterFixture fixture;
    fixture.open(1);
    EXPECT_EQ(fixture.upstream.actions,
              Lines{"OPEN fffffffffffffff1 7f3a c=chat,t=x,d=480,g=q\r\n"});  // d: attempt timeout in ms
    EXPECT_TRUE(fixture.router.may_send(1));
    fixture.router.on_attempt_established(1, "UP r\r\n");
    EXPECT_EQ(fixture.downstream.actions, (Lines{"forward 1 UP r\r\n", "start 1"}));
    fixture.router.on_client_bytes(1, "hello\r\n");
    fixture.router.on_server_bytes(1, "BYE\r\n", true);
    fixture.end_attempt(1, AttemptOutcome::completed, CloseReason::fin);
    EXPECT_EQ(fixture.upstream.actions.back(), "hello\r\n");
    EXPECT_EQ(fixture.downstream.actions.back(), "close 1");
    EXPECT_TRUE(fixture.router.is_drained());
    EXPECT_EQ(fixture.counters[Counter::requests_completed], 1);
}

TEST(RequestRouter, AnswersOnceWithBusyIfEveryAttemptIsRejected) {
    RouterFixture fixture;
    fixture.open(1);
    for (int k = 0; k < 3; ++k) fixture.reject_attempt(1, "BUSY\r\n");
    EXPECT_EQ(fixture.upstream.actions.size(), 3u);
    EXPECT_EQ(fixture.downstream.actions.size(), 1u);
    EXPECT_EQ(fixture.downstream.actions[0].substr(0, 13), "reply 1 BUSY ");
    EXPECT_TRUE(fixture.router.is_drained());
    fixture.reject_attempt(1);  // the request has already ended
    fixture.router.on_client_bytes(1, "x\r\n");
    fixture.router.on_client_closed(1, CloseReason::reset);
    fixture.router.on_attempt_established(1, "UP\r\n");
    EXPECT_EQ(fixture.downstream.actions.size(), 1u);
    EXPECT_EQ(fixture.counters[Counter::late_events], 4);
}

// If a connect is refused at once, the attempt ends while the policy's actions are still being performed.
TEST(RequestRouter, RetriesAndAnswersOnceIfAttemptsEndWhileBeingStarted) {
    RouterFixture fixture;
    fixture.upstream.on_start_attempt = [&](RequestId id) {
        fixture.end_attempt(id, AttemptOutcome::connect_failed, CloseReason::reset);
    };
    fixture.open(1);
    EXPECT_EQ(fixture.upstream.actions.size(), 3u);
    EXPECT_EQ(fixture.downstream.actions.size(), 1u);
    EXPECT_TRUE(fixture.router.is_drained());
}

TEST(RequestRouter, AnswersErrIfNonIdempotentRequestMayHaveRun) {
    RouterFixture fixture;
    fixture.open(1, pay_request);
    fixture.reset_attempt(1);
    EXPECT_EQ(fixture.upstream.actions.size(), 1u);
    EXPECT_EQ(fixture.downstream.actions, Lines{"reply 1 ERR\r\n"});
    // Shuts down with three pending requests: 2 is written and unanswered, 3 is not written yet, 4 was
    // rejected by one server and is being retried.
    for (const RequestId id : {2, 3, 4}) fixture.open(id, pay_request);
    fixture.router.on_attempt_written(2);
    fixture.router.on_attempt_written(4);
    fixture.reject_attempt(4);
    EXPECT_EQ(fixture.upstream.actions.size(), 5u);
    fixture.router.begin_graceful_shutdown(seconds(2));
    fixture.advance(seconds(2));
    fixture.downstream.actions.clear();
    fixture.router.on_tick();
    EXPECT_EQ(fixture.downstream.actions, (Lines{"reply 2 ERR\r\n", "reply 3 BUSY\r\n", "reply 4 BUSY\r\n"}));
}

// Guards against a second run of a request whose id comes again after its client has left, also at the
// process that takes over by a hot restart.
TEST(RequestRouter, AnswersErrToAnIdThatComesAgainIfItMayHaveRunAndMustNotTwice) {
    for (const std::string& fields : {pay_request, book_request}) {
        RouterFixture fixture;
        fixture.open(1, fields);
        fixture.router.on_client_closed(1, CloseReason::reset);
        fixture.open(1, fields);  // the first attempt was not written: the request has not run
        EXPECT_EQ(fixture.counters[Counter::attempts_started], 2u);
        fixture.router.on_attempt_written(1);
        fixture.router.on_client_closed(1, CloseReason::reset);
        fixture.downstream.actions.clear();
        fixture.open(1, fields);
        EXPECT_EQ(fixture.downstream.actions, Lines{"reply 1 ERR\r\n"});
        EXPECT_EQ(fixture.counters[Counter::attempts_started], 2u);
        EXPECT_EQ(fixture.counters[Counter::ids_run_already], 1u);

        RouterFixture next;
        next.router.restore(fixture.router.state());
        next.open(1, fields);
        EXPECT_EQ(next.downstream.actions, Lines{"reply 1 ERR\r\n"});
        EXPECT_EQ(next.counters[Counter::attempts_started], 0u);
        next.open(2, fields);
        EXPECT_EQ(next.counters[Counter::attempts_started], 1u);
    }
}

// Guards against connections to servers for clients that are gone before their request line is read.
TEST(RequestRouter, StartsNoAttemptIfTheClientHasResetItsConnection) {
    RouterFixture fixture;
    fixture.downstream.is_client_reset = true;
    fixture.open(1);
    EXPECT_EQ(fixture.counters[Counter::attempts_started], 0u);
    EXPECT_EQ(fixture.counters[Counter::requests_left_by_client], 1u);
    EXPECT_EQ(fixture.downstream.actions, Lines{"reset 1"});
    EXPECT_TRUE(fixture.router.is_drained());
}

// A second run of an idempotent request is harmless.
TEST(RequestRouter, ServesAnIdThatComesAgainIfItsClassIsIdempotent) {
    RouterFixture fixture;
    fixture.open(1);
    fixture.router.on_attempt_written(1);
    fixture.router.on_client_closed(1, CloseReason::reset);
    fixture.open(1);
    EXPECT_EQ(fixture.counters[Counter::attempts_started], 2u);
}

// While the connection of a retry is set up, the deduplication window goes on: the last check before the
// first byte must see it, not only the one that places the attempt.
TEST(RequestRouter, HoldsBackRetryWhoseDeduplicationWindowPassedDuringConnect) {
    RouterFixture fixture;
    fixture.open(1, book_request);
    EXPECT_FALSE(fixture.upstream.timeouts.send.has_value());  // nothing has run, so any server may run it
    fixture.advance(millis(1200));
    EXPECT_TRUE(fixture.router.may_send(1));
    RouterFixture retried;
    retried.open(1, book_request);
    retried.router.on_attempt_written(1);
    retried.advance(millis(300));
    retried.reset_attempt(1);
    EXPECT_EQ(retried.upstream.actions.size(), 2u);
    EXPECT_EQ(retried.upstream.timeouts.send, millis(700));
    retried.advance(millis(699));
    EXPECT_TRUE(retried.router.may_send(1));
    retried.advance(millis(1));
    EXPECT_FALSE(retried.router.may_send(1));
    EXPECT_EQ(retried.counters[Counter::retries_out_of_time], 1);
    retried.end_attempt(1, AttemptOutcome::not_sent, CloseReason::fin);
    EXPECT_EQ(retried.upstream.actions.size(), 2u);
    EXPECT_EQ(retried.downstream.actions.back().substr(0, 12), "reply 1 BUSY");
}

// The answer BUSY can be read before the event that the request line was written. It speaks for its own
// attempt only: the request may have run in the one before, so the client must not be told that a retry is
// harmless.
TEST(RequestRouter, AnswersErrIfRequestMayHaveRunBeforeAnAttemptWasRejectedBeforeItsWrite) {
    RouterFixture fixture;
    fixture.open(1, chat_request);
    fixture.router.on_attempt_written(1);
    fixture.reset_attempt(1);
    EXPECT_EQ(fixture.upstream.actions.size(), 2u);
    fixture.reject_attempt(1);
    ClusterConfig config = parse_cluster_config(router_settings);
    config.policy.request_classes[0].idempotency = Idempotency::non_idempotent;
    fixture.router.reconfigure(config);
    fixture.router.on_client_closed(1, CloseReason::fin);
    EXPECT_EQ(fixture.downstream.actions, Lines{"reply 1 ERR\r\n"});
}

// The process that takes over gets the policy's state and must hold the same retry back.
TEST(RequestRouter, HoldsBackRetryOfAnEarlierProcessOnceItsWindowHasPassed) {
    RouterFixture earlier;
    earlier.open(1, book_request);
    earlier.router.on_attempt_written(1);
    earlier.reset_attempt(1);
    RouterFixture next;
    next.router.restore(earlier.router.state());
    EXPECT_TRUE(next.router.may_send(1));
    next.advance(seconds(1));
    EXPECT_FALSE(next.router.may_send(1));
}

// A configuration with a shorter window applies to a retry that is on its way.
TEST(RequestRouter, HoldsBackRetryIfAReloadShortensItsWindow) {
    RouterFixture fixture;
    fixture.open(1, book_request);
    fixture.router.on_attempt_written(1);
    fixture.reset_attempt(1);
    fixture.advance(millis(500));
    EXPECT_TRUE(fixture.router.may_send(1));
    ClusterConfig config = parse_cluster_config(router_settings);
    config.policy.request_classes[2].dedup_window = millis(400);
    fixture.router.reconfigure(config);
    EXPECT_FALSE(fixture.router.may_send(1));
}

// The first attempt was written and reset, the second one was rejected: the request may have run in the
// first.
TEST(RequestRouter, AnswersErrIfRequestMayHaveRunBeforeItsLastAttemptWasRejected) {
    RouterFixture fixture;
    fixture.open(1, chat_request);
    fixture.router.on_attempt_written(1);
    fixture.reset_attempt(1);
    EXPECT_EQ(fixture.upstream.actions.size(), 2u);
    fixture.router.on_attempt_written(1);
    fixture.reject_attempt(1);
    ClusterConfig config = parse_cluster_config(router_settings);
    config.policy.request_classes[0].idempotency = Idempotency::non_idempotent;
    fixture.router.reconfigure(config);
    fixture.router.on_client_closed(1, CloseReason::fin);
    EXPECT_EQ(fixture.downstream.actions, Lines{"reply 1 ERR\r\n"});
}

TEST(RequestRouter, DoesNotSendRequestIfServerStartsDrainingDuringConnect) {
    RouterFixture fixture;
    fixture.open(1);
    fixture.update_endpoint(false, "s1", "DRAINING");
    fixture.update_endpoint(false, "s2", "DRAINING");
    EXPECT_FALSE(fixture.router.may_send(1));
    fixture.end_attempt(1, AttemptOutcome::not_sent, CloseReason::fin);
    EXPECT_EQ(fixture.upstream.actions.size(), 1u);  // the request is queued: no server accepts new requests
    fixture.advance(seconds(2));
    for (const auto& timer : std::exchange(fixture.timers, {})) fixture.router.on_timer(timer.token);
    EXPECT_EQ(fixture.downstream.actions.size(), 1u);
    EXPECT_TRUE(fixture.router.is_drained());
}

TEST(RequestRouter, FailsOverdueRequestWithoutThePolicy) {
    RouterFixture fixture;
    fixture.open(1);  // the end of its attempt is never reported
    fixture.advance_and_tick(seconds(1.9));
    EXPECT_TRUE(fixture.downstream.actions.empty());
    fixture.advance_and_tick(seconds(0.12));
    EXPECT_EQ(fixture.downstream.actions, Lines{"reply 1 ERR\r\n"});
    EXPECT_EQ(fixture.counters[Counter::answers_overdue], 1);
}

TEST(RequestRouter, RetriesServerOfAdoptedRequestUntilEstablished) {
    RouterFixture fixture;
    fixture.open(1, "c=chat,t=x,d=4294967,g=q,at=s1");  // a wait of more than an hour is well-formed
    EXPECT_EQ(fixture.upstream.actions.size(), 1u);
    fixture.end_attempt(1, AttemptOutcome::connect_failed, CloseReason::reset);
    fixture.advance_and_tick(millis(250));
    EXPECT_EQ(fixture.upstream.actions.size(), 2u);
    EXPECT_TRUE(fixture.downstream.actions.empty());
    fixture.router.on_attempt_established(1, "UP r\r\n");
    fixture.router.on_load_report(1, 5000);
    EXPECT_EQ(fixture.downstream.actions.back(), "start 1");
    EXPECT_EQ(fixture.counters[Counter::requests_adopted], 1);
}

TEST(RequestRouter, AnswersErrToMalformedLineAndBusyIfMemoryIsShort) {
    RouterFixture fixture;
    fixture.establish(7);
    const std::string good_start = "OPEN 0123456789abcdef 7f3a ";
    const std::string good_fields = "c=chat,t=x,d=5,g=q";
    std::vector<std::string> malformed{"", "\r\n", "OPEN\r\n", good_start + good_fields + "\n",
                                       good_start + good_fields + " more\r\n"};
    for (const char* start :
         {"OPEN  7f3a ", "OPEN 7f3a ", "OPEN 0123456789ABCDEF 7f3a ", "OPEN 0123456789abcde 7f3a ",
          "OPEN 0123456789abcdef0 7f3a ", "OPEN 0123456789abcdef  7f3a ", "OPEN 0123456789abcdef  ",
          "HELO 0123456789abcdef 7f3a ", "OPEN fffffffffffffff7 7f3a ", "OPEN 0123456789abcdef \x01 ",
          "OPEN 0123456789abcdef \xc3\xa4 ", " OPEN 0123456789abcdef 7f3a "})
        malformed.push_back(start + good_fields + "\r\n");
    for (const char* fields :
         {"c=none,t=x,d=5,g=q", "c=,t=x,d=5,g=q", "t=x,d=5,g=q", "c=chat,t=z,d=5,g=q", "c=chat,d=5,g=q",
          "c=chat,t=x,g=q", "c=chat,t=x,d=5", "c=chat,t=x,d=-5,g=q", "c=chat,t=x,d=soon,g=q",
          "c=chat,t=x,d=,g=q", "c=chat,t=x,d=5x,g=q", "c=chat,t=x,d=99999999999999999999999,g=q",
          "c=chat,c=pay,t=x,d=5,g=q", "c=chat,t=x,d=5,g=q,", "c=chat,,t=x,d=5,g=q", "c=chat,t=x,d=5,g=q,=1",
          "c=chat,t=x,d=5,g=q,again=yes", "c=chat,t=x,d=5,g=q,u=1,u=1", "c"})
        malformed.push_back(good_start + fields + "\r\n");
    for (const std::string& line : malformed) fixture.router.on_request_line(1, line);
    EXPECT_EQ(fixture.downstream.actions.size(), malformed.size());
    EXPECT_EQ(fixture.counters[Counter::malformed_client_lines], malformed.size());
    for (const std::string& action : fixture.downstream.actions) EXPECT_EQ(action, "reply 1 ERR\r\n");
    EXPECT_EQ(fixture.counters[Counter::ids_open_already], 1);
    EXPECT_TRUE(fixture.upstream.actions.empty());
    fixture.router.on_client_closed(7, CloseReason::fin);
    fixture.upstream.actions.clear();
    fixture.open(7);  // its id on the wire is free again
    EXPECT_EQ(fixture.upstream.actions.size(), 1u);
    fixture.router.on_early_client_data(7);
    EXPECT_EQ(fixture.downstream.actions.back(), "reply 7 ERR\r\n");
    EXPECT_EQ(fixture.upstream.actions.back(), "close");
    fixture.upstream.actions.clear();
    fixture.has_memory = false;
    fixture.open(2);
    EXPECT_EQ(fixture.downstream.actions.back(), "reply 2 BUSY 300\r\n");
    EXPECT_EQ(fixture.counters[Counter::refused_for_memory], 1);
    EXPECT_TRUE(fixture.upstream.actions.empty());
    EXPECT_TRUE(fixture.router.is_drained());
}
