#include "policy_helpers.h"

static EndpointState condition(BalancingPolicy& b, const ServerId& s) {
    return Peek{b}.server(s).endpoint.state;
}

TEST(Endpoints, AbsenceFromAFullListMeansGone) {
    Written w;
    BalancingPolicy b(deployment(), 1, w, term_start);
    b.on_endpoints(term_start, EndpointUpdateKind::cached, {listed("a"), listed("old")});
    b.on_endpoints(term_start, EndpointUpdateKind::delta, {listed("b")});
    EXPECT_EQ(condition(b, "old"), EndpointState::active);
    b.on_endpoints(term_start, EndpointUpdateKind::snapshot, {listed("a"), listed("b")});
    EXPECT_EQ(condition(b, "old"), EndpointState::removed);
    EXPECT_EQ(condition(b, "a"), EndpointState::active);
    b.on_endpoints(term_start, EndpointUpdateKind::error, {});
    EXPECT_EQ(condition(b, "a"), EndpointState::active);  // the list before a failure stays valid
}

TEST(Endpoints, AsksAgainAfterAFailureAtABoundedPace) {
    Written w;
    PolicyConfig d = deployment();
    d.polls_endpoints = true;
    BalancingPolicy b(d, 1, w, term_start);
    EXPECT_EQ(w.asks, 1);
    TimePoint now = term_start;
    int asks = 1;
    for (int k = 0; k < 12; ++k) {
        Peek::due(w);
        b.on_endpoints(now, EndpointUpdateKind::error, {});
        const auto timers = Peek::due(w);
        EXPECT_EQ(timers.size(), 1u);
        const Duration pause = timers[0].first - now;
        EXPECT_GE(pause, millis(200));
        EXPECT_LE(pause, seconds(2.6));  // far within what lets drains be deemed told
        b.on_timer(now = timers[0].first, timers[0].second);
        EXPECT_EQ(w.asks, ++asks);
    }
    const auto none = Peek::due(w);
    b.on_endpoints(now, EndpointUpdateKind::delta, {listed("a")});
    b.on_endpoints(now, EndpointUpdateKind::error, {});  // the subscription broke
    for (const auto& [at, token] : Peek::due(w)) b.on_timer(at, token);
    EXPECT_TRUE(none.empty());
    EXPECT_EQ(w.asks, asks + 1);
}

// The same id with a later start is a new process: nothing held against the old one counts, nor its
// connections.
TEST(Endpoints, ARestartUnderTheSameIdBeginsAnew) {
    auto&& [w, b, p] = Rig({listed("a"), listed("b")});
    stand(b, term_start, "a", 1, 3);
    ServerState& s = p.server("a");
    p.recorded_penalty("a") = 5;
    p.penalty_at("a") = term_start;
    p.consecutive_failures("a") = 4;
    p.backoff_until("a") = term_start + seconds(9);
    p.excess("a").raise_to(term_start, 7);
    p.recorded_limit("a") = 2;
    p.limited_at("a") = term_start;
    Endpoint is_reconnect = listed("a");
    is_reconnect.launched = term_start + seconds(2);
    b.on_endpoints(term_start + seconds(3), EndpointUpdateKind::delta, {is_reconnect});
    const TimePoint now = term_start + seconds(3);
    EXPECT_EQ(p.failure_penalty(now, "a"), 0);
    EXPECT_TRUE(p.is_selectable(now, "a"));
    EXPECT_EQ(p.excess("a").max_bucket(now), 0);
    EXPECT_TRUE(s.connections.empty());
    EXPECT_GT(p.load_limit(now, "a"), 1e9);
    EXPECT_EQ(p.started("a"), is_reconnect.launched);
    EXPECT_EQ(w.moved.size(), 3u);  // their clients would wait on a process that does not know them
    b.on_endpoints(now, EndpointUpdateKind::delta, {is_reconnect});  // told twice: nothing begins anew
    EXPECT_EQ(p.started("a"), is_reconnect.launched);
    EXPECT_EQ(w.moved.size(), 3u);
}

// By a wall clock that was stepped back before this process began: the server is as cold as it can be, and
// warms up from now on, once.
TEST(Endpoints, AServerThatLooksStartedInTheFutureWarmsUpFromNowOn) {
    auto&& [w, b, p] = Rig({listed("a")});
    Endpoint ahead = listed("b");
    ahead.launched = term_start + seconds(3600);
    const TimePoint now = term_start + seconds(1);
    b.on_endpoints(now, EndpointUpdateKind::delta, {ahead});
    EXPECT_EQ(p.started("b"), now);
    b.on_endpoints(now + seconds(5), EndpointUpdateKind::snapshot, {listed("a"), ahead});
    EXPECT_EQ(p.started("b"), now);
}

TEST(Endpoints, TimersThatMeanNothingArePassedOver) {
    auto&& [w, b, p] = Rig({listed("a")});
    Peek::due(w);
    for (const uint64_t token : {0ULL, 255ULL, 3ULL | 77ULL << 8, ~0ULL}) b.on_timer(term_start, token);
    EXPECT_TRUE(w.timers.empty());
    EXPECT_TRUE(w.moved.empty());
    EXPECT_EQ(w.asks, 0);
}
