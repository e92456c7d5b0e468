#include <sstream>

#include "policy_helpers.h"
#include "router/request_router.h"

static const std::string settings = R"({"az":0,"discovery":"push","stepNs":2000000,
"ceilings":{"maxLegs":3,"retryAfter":true,"maxRetryAfterNs":1500000000,"dialTimeoutNs":150000000},
"invariants":{"coldNs":8700000000},"domain":{"groups":true,"tellsDelay":true,"messageAimNs":[60000000,60000000]},
"realms":[{"name":"x"},{"name":"y"}],"failureDomains":["a","b"],
"trafficTypes":[{"name":"chat","effect":"pure","setupTargetNs":800000000,"guardTimeNs":3200000000},
{"name":"pay","effect":"side_effect","setupTargetNs":800000000,"guardTimeNs":3200000000}]})";

struct FakeDownstream : DownstreamInterface {
    std::vector<std::string> done;  // what was asked, in order
    size_t waiting = 0;
    void note(const char* what, RequestId id, std::string_view text = "") {
        done.push_back(what + std::to_string(id) + std::string(text));
    }
    void forward(RequestId id, std::string_view b) override { note("pass", id, b); }
    void start(RequestId id) override { note("serve", id); }
    void reply(RequestId id, std::string_view l) override { note("answer", id, l); }
    void close(RequestId id, CloseReason how) override {
        note(how == CloseReason::reset ? "break" : "end", id);
    }
    void pause_reading(RequestId id, bool on) override { note(on ? "hold" : "free", id); }
    size_t unsent_bytes(RequestId) const override { return waiting; }
    std::function<void(RequestId)> at_look = [](RequestId) {};
    void poll_now(RequestId id) override { at_look(id); }
};

struct FakeUpstream : UpstreamInterface {
    std::vector<std::string> done;
    std::function<void(RequestId)> at_open;
    void start_attempt(RequestId id, const Address&, std::string line, Duration, Duration) override {
        done.push_back(line);
        if (at_open) at_open(id);
    }
    void forward(RequestId, std::string_view b) override { done.emplace_back(b); }
    void close(RequestId, CloseReason how) override {
        done.emplace_back(how == CloseReason::reset ? "break" : "end");
    }
    void pause_reading(RequestId, bool on) override { done.emplace_back(on ? "hold" : "free"); }
    size_t unsent_bytes(RequestId) const override { return 0; }
};

static std::string id_of(RequestId id) {
    const std::string digits = std::to_string(id);
    return std::string(16 - digits.size(), 'f') + digits;
}

static const std::string usual = "c=chat,t=x,d=2000,g=q";

struct RouterHarness {
    FakeDownstream downstream;
    FakeUpstream upstream;
    Counters counters;
    std::ostringstream said;
    Log log{said, LogLevel::debug};
    TimePoint now = cycle_start;
    std::vector<std::pair<TimePoint, uint64_t>> timers;
    bool room = true;
    RequestRouter router{
        parse_cluster_config(settings),
        7,
        downstream,
        upstream,
        {[this] { return now; }, [this](TimePoint at, uint64_t t) { timers.emplace_back(at, t); },
         [this] { return room ? std::nullopt : std::optional(Counter::refused_for_memory); }},
        counters,
        log};
    Clock clock;
    explicit RouterHarness(const std::string& state = "SERVING") {
        list(true, "s1", state), list(false, "s2", state);
    }
    void list(bool complete, const std::string& id, const std::string& state) {
        const std::string body = R"({"generation":1,"reset":)" + std::string(complete ? "true" : "false") +
                                 R"(,"instances":[{"instanceId":")" + id +
                                 R"(","hostPort":"127.0.0.1:1","zone":"a","lifecycle":")" + state + R"("}]})";
        router.on_endpoints(complete ? EndpointUpdateKind::snapshot : EndpointUpdateKind::delta,
                            parse_endpoint_update(body, router.config(), clock));
    }
    void open(RequestId id, const std::string& fields = usual) {
        router.on_request_line(id, "OPEN " + id_of(id) + " 7f3a " + fields + "\r\n");
    }
    void establish(RequestId id, const std::string& fields = usual) {
        open(id, fields);
        router.on_attempt_established(id, "UP r\r\n");
        downstream.done.clear();
        upstream.done.clear();
    }
};
using Lines = std::vector<std::string>;

TEST(RequestRouter, ServesARequest) {
    RouterHarness harness;
    harness.open(1);
    EXPECT_EQ(harness.upstream.done,
              Lines{"OPEN fffffffffffffff1 7f3a c=chat,t=x,d=480,g=q\r\n"});  // the module's patience
    EXPECT_TRUE(harness.router.may_send(1));
    harness.router.on_attempt_established(1, "UP r\r\n");
    EXPECT_TRUE((harness.downstream.done == Lines{"pass1UP r\r\n", "serve1"}));
    harness.router.on_client_bytes(1, "hello\r\n");
    harness.router.on_server_bytes(1, "BYE\r\n", true);
    harness.router.on_attempt_ended(1, {AttemptOutcome::completed, CloseReason::fin, false, {}});
    EXPECT_EQ(harness.upstream.done.back(), "hello\r\n");
    EXPECT_EQ(harness.downstream.done.back(), "end1");
    EXPECT_TRUE(harness.router.is_drained());
    EXPECT_EQ(harness.counters[Counter::requests_completed], 1);
}

TEST(RequestRouter, RetriesFailedAttemptsElsewhereAndAnswersOnce) {
    RouterHarness harness;
    harness.open(1);
    for (int k = 0; k < 3; ++k)
        harness.router.on_attempt_ended(1,
                                        {AttemptOutcome::at_capacity, CloseReason::fin, false, "BUSY\r\n"});
    EXPECT_EQ(harness.upstream.done.size(), 3u);
    EXPECT_EQ(harness.downstream.done.size(), 1u);
    EXPECT_EQ(harness.downstream.done[0].substr(0, 12), "answer1BUSY ");
    EXPECT_TRUE(harness.router.is_drained());
    harness.router.on_attempt_ended(
        1, {AttemptOutcome::at_capacity, CloseReason::fin, false, {}});  // of a request that has gone
    harness.router.on_client_bytes(1, "x\r\n");
    harness.router.on_client_closed(1, CloseReason::reset);
    harness.router.on_attempt_established(1, "UP\r\n");
    EXPECT_EQ(harness.downstream.done.size(), 1u);
    EXPECT_EQ(harness.counters[Counter::late_events], 4);
}

// A connect that is refused at once ends its attempt while the module's actions are still being done.
TEST(RequestRouter, AttemptMayEndWhileItIsStarted) {
    RouterHarness harness;
    harness.upstream.at_open = [&](RequestId id) {
        harness.router.on_attempt_ended(id, {AttemptOutcome::connect_failed, CloseReason::reset, false, {}});
    };
    harness.open(1);
    EXPECT_EQ(harness.upstream.done.size(), 3u);
    EXPECT_EQ(harness.downstream.done.size(), 1u);
    EXPECT_TRUE(harness.router.is_drained());
}

TEST(RequestRouter, DoesNotInviteARetryOfWhatMayHaveRun) {
    RouterHarness harness;
    harness.open(1, "c=pay,t=x,d=2000,g=q");
    harness.router.on_attempt_ended(1, {AttemptOutcome::reset, CloseReason::reset, false, {}});
    EXPECT_EQ(harness.upstream.done.size(), 1u);
    EXPECT_EQ(harness.downstream.done, Lines{"answer1ERR\r\n"});
    // Told to end with three requests out: written and unheard of; not written yet; turned away and out
    // again.
    for (const RequestId id : {2, 3, 4}) harness.open(id, "c=pay,t=x,d=2000,g=q");
    harness.router.on_attempt_written(2);
    harness.router.on_attempt_written(4);
    harness.router.on_attempt_ended(4, {AttemptOutcome::at_capacity, CloseReason::fin, false, {}});
    EXPECT_EQ(harness.upstream.done.size(), 5u);
    harness.router.begin_graceful_shutdown(seconds(2));
    harness.now = harness.now + seconds(2);
    harness.downstream.done.clear();
    harness.router.on_tick();
    EXPECT_TRUE((harness.downstream.done == Lines{"answer2ERR\r\n", "answer3BUSY\r\n", "answer4BUSY\r\n"}));
}

// Written before, then turned away elsewhere: the first attempt may still have run.
TEST(RequestRouter, OneAttemptThatMayHaveRunIsEnough) {
    RouterHarness harness;
    harness.open(1, "c=chat,t=x,d=2000,g=q");
    harness.router.on_attempt_written(1);
    harness.router.on_attempt_ended(1, {AttemptOutcome::reset, CloseReason::reset, false, {}});
    EXPECT_EQ(harness.upstream.done.size(), 2u);
    harness.router.on_attempt_written(1);
    harness.router.on_attempt_ended(1, {AttemptOutcome::at_capacity, CloseReason::fin, false, {}});
    ClusterConfig told = parse_cluster_config(settings);
    told.policy.request_classes[0].idempotency = Idempotency::non_idempotent;
    harness.router.reconfigure(told);
    harness.router.on_client_closed(1, CloseReason::fin);
    EXPECT_EQ(harness.downstream.done, Lines{"answer1ERR\r\n"});
}

TEST(RequestRouter, DrainWhileConnectingStopsTheSend) {
    RouterHarness harness;
    harness.open(1);
    harness.list(false, "s1", "DRAINING");
    harness.list(false, "s2", "DRAINING");
    EXPECT_FALSE(harness.router.may_send(1));
    harness.router.on_attempt_ended(1, {AttemptOutcome::not_sent, CloseReason::fin, false, {}});
    EXPECT_EQ(harness.upstream.done.size(), 1u);  // held: nobody takes anything new
    harness.now = harness.now + seconds(2);
    for (const auto& [at, token] : std::exchange(harness.timers, {})) harness.router.on_timer(token);
    EXPECT_EQ(harness.downstream.done.size(), 1u);
    EXPECT_TRUE(harness.router.is_drained());
}

TEST(RequestRouter, AnswersOverdueRequestsWithoutThePolicy) {
    RouterHarness harness;
    harness.open(1);  // its attempt's end never comes
    harness.now = harness.now + seconds(1.9);
    harness.router.on_tick();
    EXPECT_TRUE(harness.downstream.done.empty());
    harness.now = harness.now + seconds(0.12);
    harness.router.on_tick();
    EXPECT_EQ(harness.downstream.done, Lines{"answer1ERR\r\n"});
    EXPECT_EQ(harness.counters[Counter::answers_overdue], 1);
}

TEST(RequestRouter, MigratesBetweenTwoLines) {
    RouterHarness harness;
    harness.establish(1);
    harness.router.on_server_bytes(1, std::string(4096, 'x'), false);
    harness.router.begin_graceful_shutdown(Duration{});
    harness.now = harness.now + millis(450);
    harness.router.on_tick();
    EXPECT_EQ(harness.downstream.done.size(), 1u);
    harness.router.on_server_bytes(1, "x\r\n", true);
    EXPECT_EQ(harness.downstream.done.back(), "answer1MOVE\r\n");
    EXPECT_EQ(harness.upstream.done.back(), "end");
    EXPECT_TRUE(harness.router.is_drained());
    EXPECT_EQ(harness.counters[Counter::requests_migrated], 1);
}

TEST(RequestRouter, ServerThatStopsInMidLineDoesNotKeepItsClient) {
    RouterHarness harness;
    harness.establish(1);
    harness.router.on_server_bytes(1, "half", false);
    harness.router.begin_graceful_shutdown(Duration{});
    harness.now = harness.now + millis(450);
    harness.router.on_tick();
    harness.now = harness.now + seconds(1);
    harness.router.on_tick();
    EXPECT_EQ(harness.downstream.done.back(), "end1");
    EXPECT_TRUE(harness.router.is_drained());
}

TEST(RequestRouter, SilentServerMigratesItsClient) {
    RouterHarness harness;
    harness.establish(1);
    harness.router.on_attempt_ended(1, {AttemptOutcome::reset, CloseReason::fin, true, {}});
    EXPECT_EQ(harness.downstream.done, Lines{"answer1MOVE\r\n"});
}

TEST(RequestRouter, MirrorsTheEndOfAConnection) {
    RouterHarness harness;
    harness.establish(1);
    harness.establish(2);
    harness.establish(3);
    harness.router.on_attempt_ended(1, {AttemptOutcome::reset, CloseReason::reset, false, {}});
    EXPECT_EQ(harness.downstream.done.back(), "break1");
    harness.router.on_client_closed(2, CloseReason::reset);
    EXPECT_EQ(harness.upstream.done.back(), "break");
    harness.router.on_client_closed(3, CloseReason::fin);
    EXPECT_EQ(harness.upstream.done.back(), "end");
    EXPECT_TRUE(harness.router.is_drained());
}

TEST(RequestRouter, ShutdownServesOnBeforeItMigratesGradually) {
    for (const bool others_left : {false, true}) {
        RouterHarness harness;
        for (RequestId id = 1; id <= 20; ++id)
            harness.establish(id, others_left ? "c=chat,t=x,d=2000,g=q,again=1" : usual);
        harness.router.begin_graceful_shutdown(seconds(3));
        harness.establish(21);
        harness.router.on_tick();
        EXPECT_TRUE(harness.downstream.done.empty());
        harness.now =
            harness.now + seconds(others_left ? 1.9 : 0.5);  // who left before must be back, or not gone yet
        harness.router.on_tick();
        EXPECT_EQ(harness.downstream.done.empty(), others_left);
        harness.now = harness.now + millis(100);
        harness.open(99);
        EXPECT_EQ(harness.downstream.done.back(), "answer99BUSY\r\n");
        harness.router.on_tick();
        EXPECT_GE(harness.counters[Counter::requests_migrated], 1);
        EXPECT_LE(harness.counters[Counter::requests_migrated], 8);
        harness.now = harness.now + seconds(1);
        harness.router.on_tick();
        EXPECT_TRUE(harness.router.is_drained());
        EXPECT_EQ(harness.counters[Counter::requests_migrated], 21);
    }
}

TEST(RequestRouter, RetriesTheServerOfAnAdoptedRequestUntilItIsUp) {
    RouterHarness harness;
    harness.open(1, "c=chat,t=x,d=4294967,g=q,at=s1");  // a wait of over an hour is no malformed one
    EXPECT_EQ(harness.upstream.done.size(), 1u);
    harness.router.on_attempt_ended(1, {AttemptOutcome::connect_failed, CloseReason::reset, false, {}});
    harness.now = harness.now + millis(250);
    harness.router.on_tick();
    EXPECT_EQ(harness.upstream.done.size(), 2u);
    EXPECT_TRUE(harness.downstream.done.empty());
    harness.router.on_attempt_established(1, "UP r\r\n");
    harness.router.on_load_report(1, 5000);
    EXPECT_EQ(harness.downstream.done.back(), "serve1");
    EXPECT_EQ(harness.counters[Counter::requests_adopted], 1);
}

TEST(RequestRouter, AnswersWhatCannotBeAccepted) {
    RouterHarness harness;
    harness.establish(7);
    const std::string good = "OPEN 0123456789abcdef 7f3a ", list = "c=chat,t=x,d=5,g=q";
    std::vector<std::string> bad{"", "\r\n", "OPEN\r\n", good + list + "\n", good + list + " more\r\n"};
    for (const char* start :
         {"OPEN  7f3a ", "OPEN 7f3a ", "OPEN 0123456789ABCDEF 7f3a ", "OPEN 0123456789abcde 7f3a ",
          "OPEN 0123456789abcdef0 7f3a ", "OPEN 0123456789abcdef  7f3a ", "OPEN 0123456789abcdef  ",
          "HELO 0123456789abcdef 7f3a ", "OPEN fffffffffffffff7 7f3a ", "OPEN 0123456789abcdef \x01 ",
          "OPEN 0123456789abcdef \xc3\xa4 ", " OPEN 0123456789abcdef 7f3a "})
        bad.push_back(start + list + "\r\n");
    for (const char* fields :
         {"c=none,t=x,d=5,g=q", "c=,t=x,d=5,g=q", "t=x,d=5,g=q", "c=chat,t=z,d=5,g=q", "c=chat,d=5,g=q",
          "c=chat,t=x,g=q", "c=chat,t=x,d=5", "c=chat,t=x,d=-5,g=q", "c=chat,t=x,d=soon,g=q",
          "c=chat,t=x,d=,g=q", "c=chat,t=x,d=5x,g=q", "c=chat,t=x,d=99999999999999999999999,g=q",
          "c=chat,c=pay,t=x,d=5,g=q", "c=chat,t=x,d=5,g=q,", "c=chat,,t=x,d=5,g=q", "c=chat,t=x,d=5,g=q,=1",
          "c=chat,t=x,d=5,g=q,again=yes", "c=chat,t=x,d=5,g=q,u=1,u=1", "c"})
        bad.push_back(good + fields + "\r\n");
    for (const std::string& line : bad) harness.router.on_request_line(1, line);
    EXPECT_EQ(harness.downstream.done.size(), bad.size());
    EXPECT_EQ(harness.counters[Counter::malformed_client_lines], bad.size());
    for (const std::string& said : harness.downstream.done) EXPECT_EQ(said, "answer1ERR\r\n");
    EXPECT_EQ(harness.counters[Counter::ids_open_already], 1);
    EXPECT_TRUE(harness.upstream.done.empty());
    harness.router.on_client_closed(7, CloseReason::fin);
    harness.upstream.done.clear();
    harness.open(7);  // its id is free again
    EXPECT_EQ(harness.upstream.done.size(), 1u);
    harness.router.on_early_client_data(7);
    EXPECT_EQ(harness.downstream.done.back(), "answer7ERR\r\n");
    EXPECT_EQ(harness.upstream.done.back(), "end");
    harness.upstream.done.clear();
    harness.room = false;
    harness.open(2);
    EXPECT_EQ(harness.downstream.done.back(), "answer2BUSY 300\r\n");
    EXPECT_EQ(harness.counters[Counter::refused_for_memory], 1);
    EXPECT_TRUE(harness.upstream.done.empty());
    EXPECT_TRUE(harness.router.is_drained());
}

TEST(RequestRouter, ClientThatDoesNotReadPausesItsServer) {
    RouterHarness harness;
    harness.establish(1);
    harness.downstream.waiting = unsent_high_watermark + 1;
    harness.router.on_server_bytes(1, "x\r\n", true);
    EXPECT_EQ(harness.upstream.done.back(), "hold");
    harness.downstream.waiting = 0;
    harness.router.on_client_drained(1);
    EXPECT_EQ(harness.upstream.done.back(), "free");
}

TEST(RequestRouter, ParsesAnEndpointUpdate) {
    const ClusterConfig told = parse_cluster_config(settings);
    const Clock clock;
    const auto now_ms = std::chrono::duration_cast<std::chrono::milliseconds>(
                            std::chrono::system_clock::now().time_since_epoch())
                            .count();
    const EndpointUpdate news = parse_endpoint_update(
        R"({"generation":43,"reset":true,"instances":[{"instanceId":"s","hostPort":"127.0.0.1:80","zone":"b",
        "cell":3,"lifecycle":"DRAINING","weight":1.5,"startedAtMs":)" +
            std::to_string(now_ms) + R"(},{"instanceId":"t","lifecycle":"ODD"},7]})",
        told, clock);
    EXPECT_EQ(news.version, 43);
    EXPECT_TRUE(news.is_snapshot);
    EXPECT_EQ(news.entries.size(), 1u);
    EXPECT_EQ(news.unreadable_entries, 2);
    const Endpoint& l = news.entries[0].endpoint;
    EXPECT_EQ(l.zone, 1);
    EXPECT_EQ(l.cell, 3);
    EXPECT_EQ(l.state, EndpointState::draining);
    EXPECT_EQ(l.weight, 1.5);
    EXPECT_TRUE(l.launched);
    const Duration off = *l.launched - Clock::now();
    EXPECT_LT(off, millis(50));
    EXPECT_GT(off, millis(-200));
    for (const char* garbled :
         {"", "[]", "{}", R"({"generation":1,"reset":1,"instances":[]})", "{\"generation\":"}) {
        bool thrown = false;
        try {
            parse_endpoint_update(std::string(garbled), told, clock);
        } catch (const ParseError&) {
            thrown = true;
        }
        EXPECT_TRUE(thrown);
    }
    for (const char* odd :
         {"", ":", "1.2.3.4", "1.2.3.4:", ":80", "name:80", "1.2.3.4:x", "1.2.3.4:99999999"})
        EXPECT_FALSE(Address::from(odd));
    EXPECT_TRUE(Address::from("[::1]:80"));
    EXPECT_TRUE(Address::from("127.0.0.1:80"));
}

// Every way in which a request ends: each taken in is counted once, whatever its attempts did.
TEST(RequestRouter, MetricsCountEveryRequestOnce) {
    RouterHarness harness;
    const auto sum = [&](admin::SetupOutcome how, int type) {
        return harness.router.metrics().setups.by_class(how)[type];
    };
    harness.establish(1);
    harness.establish(2, "c=pay,t=x,d=2000,g=q");
    harness.router.on_attempt_written(1);
    harness.router.on_attempt_written(2);
    harness.open(3);  // turned away by every server
    for (int k = 0; k < 3; ++k) {
        harness.router.on_attempt_written(3);
        harness.router.on_attempt_ended(3,
                                        {AttemptOutcome::at_capacity, CloseReason::fin, false, "BUSY\r\n"});
    }
    harness.open(4, "c=pay,t=x,d=2000,g=q");  // may have run
    harness.router.on_attempt_ended(4, {AttemptOutcome::reset, CloseReason::reset, false, {}});
    harness.open(5);
    harness.router.on_client_closed(5, CloseReason::reset);  // left: under none
    harness.open(6);
    harness.router.on_early_client_data(6);
    harness.open(7);
    harness.router.on_attempt_ended(7, {AttemptOutcome::completed, CloseReason::fin, false, "BYE\r\n"});
    harness.open(8);
    harness.now = harness.now + seconds(3);
    harness.router.on_tick();  // its attempt's end never comes
    harness.open(9, "c=chat,t=x,d=5,g=q,at=s1");
    harness.router.on_attempt_established(9, "UP r\r\n");  // stood before this process
    harness.open(10, "c=none,t=x,d=5,g=q");
    harness.room = false;
    harness.open(11);
    harness.room = true;
    EXPECT_EQ(harness.router.metrics().outstanding, 3);
    EXPECT_EQ(harness.router.metrics().setups.forwards(), 5);
    EXPECT_EQ(sum(admin::SetupOutcome::succeeded, 0), 1);
    EXPECT_EQ(sum(admin::SetupOutcome::succeeded, 1), 1);
    EXPECT_EQ(sum(admin::SetupOutcome::declined, 0), 2);
    EXPECT_EQ(sum(admin::SetupOutcome::declined, 1), 0);
    EXPECT_EQ(sum(admin::SetupOutcome::aborted, 0), 3);
    EXPECT_EQ(sum(admin::SetupOutcome::aborted, 1), 1);
    harness.router.on_attempt_ended(
        1, {AttemptOutcome::reset, CloseReason::reset, false, {}});  // broken later: it was brought up
    harness.router.begin_graceful_shutdown(Duration{});
    harness.now = harness.now + millis(450);
    harness.open(12);
    harness.router.on_tick();
    EXPECT_EQ(harness.router.metrics().outstanding, 0);
    EXPECT_EQ(sum(admin::SetupOutcome::declined, 0), 3);
    EXPECT_EQ(sum(admin::SetupOutcome::succeeded, 0), 1);
    EXPECT_EQ(sum(admin::SetupOutcome::aborted, 0), 3);
}

TEST(RequestRouter, MetricsCountDiscoveredAndEjectedEndpoints) {
    RouterHarness harness;
    EXPECT_EQ(harness.router.metrics().discovered, 2);
    EXPECT_EQ(harness.router.metrics().ejected, 0);
    harness.list(false, "s1", "DRAINING");
    EXPECT_EQ(harness.router.metrics().discovered, 2);
    EXPECT_EQ(harness.router.metrics().ejected, 1);
    harness.list(false, "s1", "DELETED");
    EXPECT_EQ(harness.router.metrics().discovered, 1);
    EXPECT_EQ(harness.router.metrics().ejected, 0);
}
