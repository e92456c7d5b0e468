// Tests which requests are retried and where, what draining and warming servers are sent, and queued
// requests.
#include <cmath>

#include "policy_helpers.h"

/// Returns servers "a" to "d" in zones 0, 0, 1, 1 and cells 0, 1, 0, 2.
static std::vector<Endpoint> make_four_endpoints() {
    return {make_endpoint("a", 1, 0, 0), make_endpoint("b", 1, 0, 1), make_endpoint("c", 1, 1, 0),
            make_endpoint("d", 1, 1, 2)};
}

/// Ends the last attempt of a request, `after` its arrival.
static void end_attempt(BalancingPolicy& policy, RequestId id, AttemptOutcome outcome,
                        Duration after = millis(10)) {
    const int attempt = static_cast<int>(PolicyInspector{policy}.request(id).attempts.size()) - 1;
    policy.on_attempt_ended(cycle_start + after, id, attempt, outcome, after, false, {});
}

TEST(Rules, RetriesIdempotentRequestWhateverTheOutcome) {
    auto&& [actions, policy, inspector] = PolicyFixture(make_four_endpoints(), make_config());
    policy.on_request(cycle_start, make_request(1, cycle_start));
    end_attempt(policy, 1, AttemptOutcome::timed_out);
    EXPECT_EQ(actions.attempts.size(), 2u);
    EXPECT_NE(actions.attempts[0].server, actions.attempts[1].server);
    end_attempt(policy, 1, AttemptOutcome::reset);
    end_attempt(policy, 1, AttemptOutcome::error);
    EXPECT_EQ(actions.attempts.size(), 4u);
    EXPECT_TRUE(actions.rejected.empty());
    end_attempt(policy, 1, AttemptOutcome::error);  // the fourth and last attempt
    EXPECT_EQ(actions.attempts.size(), 4u);
    EXPECT_EQ(actions.rejected.size(), 1u);
}

TEST(Rules, RetriesNonIdempotentRequestOnlyIfNoAttemptMayHaveRun) {
    for (const AttemptOutcome outcome :
         {AttemptOutcome::at_capacity, AttemptOutcome::connect_failed, AttemptOutcome::not_sent,
          AttemptOutcome::error, AttemptOutcome::timed_out, AttemptOutcome::reset,
          AttemptOutcome::cancelled}) {
        const bool cannot_have_run = outcome == AttemptOutcome::at_capacity ||
                                     outcome == AttemptOutcome::connect_failed ||
                                     outcome == AttemptOutcome::not_sent;
        auto&& [actions, policy, inspector] =
            PolicyFixture(make_four_endpoints(), make_config(Idempotency::non_idempotent));
        policy.on_request(cycle_start, make_request(1, cycle_start));
        end_attempt(policy, 1, outcome);
        EXPECT_EQ(actions.attempts.size(), cannot_have_run ? 2 : 1);
        EXPECT_TRUE(actions.rejected.empty());
        EXPECT_EQ(actions.failed.size(), cannot_have_run ? 0 : 1);
    }
}

TEST(Rules, RetriesKeyedRequestWithinItsZoneOrCell) {
    for (const DedupScope dedup_scope : {DedupScope::zone, DedupScope::cell}) {
        auto&& [actions, policy, inspector] =
            PolicyFixture(make_four_endpoints(), make_config(Idempotency::keyed, dedup_scope));
        policy.on_request(cycle_start, make_request(1, cycle_start));
        end_attempt(policy, 1, AttemptOutcome::timed_out);
        end_attempt(policy, 1, AttemptOutcome::timed_out);
        const auto scope_of = [&, &inspector = inspector](const ServerId& server) {
            const Endpoint& endpoint = inspector.server(server).endpoint;
            return dedup_scope == DedupScope::zone ? endpoint.zone : endpoint.cell;
        };
        for (const auto& attempt : actions.attempts)
            EXPECT_EQ(scope_of(attempt.server), scope_of(actions.attempts[0].server));
        EXPECT_TRUE(actions.rejected.empty());
    }
}

TEST(Rules, AfterDeduplicationWindowRejectsKeyedRequestIfScopeIsAllElseFailsIt) {
    PolicyConfig config = make_config(Idempotency::keyed, DedupScope::zone);
    config.request_classes[0].dedup_window = millis(500);
    auto&& [actions, policy, inspector] = PolicyFixture(make_four_endpoints(), config);
    policy.on_request(cycle_start, make_request(1, cycle_start));
    end_attempt(policy, 1, AttemptOutcome::timed_out, millis(500));
    EXPECT_EQ(actions.attempts.size(), 1u);
    EXPECT_EQ(actions.failed.size(), 1u);
    EXPECT_TRUE(actions.rejected.empty());

    config.request_classes[0].dedup_scope = DedupScope::all;
    auto&& [other_actions, other_policy, other_inspector] = PolicyFixture(make_four_endpoints(), config);
    other_policy.on_request(cycle_start, make_request(1, cycle_start));
    end_attempt(other_policy, 1, AttemptOutcome::timed_out, millis(500));
    EXPECT_EQ(other_actions.attempts.size(), 1u);
    EXPECT_EQ(other_actions.rejected.size(), 1u);
}

TEST(Rules, SendsNoNewRequestsToDrainingOrRemovedServers) {
    auto&& [actions, policy, inspector] = PolicyFixture(make_four_endpoints(), make_config());
    std::vector<Endpoint> change = {make_endpoint("a"), make_endpoint("b"), make_endpoint("c")};
    change[0].state = EndpointState::draining;
    change[1].state = EndpointState::draining;
    change[2].state = EndpointState::removed;
    policy.on_endpoints(cycle_start, EndpointUpdateKind::delta, change);
    for (RequestId id = 1; id <= 20; ++id) policy.on_request(cycle_start, make_request(id, cycle_start));
    for (const auto& attempt : actions.attempts) EXPECT_EQ(attempt.server, "d");
    EXPECT_EQ(actions.attempts.size(), 20u);
}

// Guards against warm-up permits that are hardly used. 300 balancers have three connections each; of forty
// servers, five are 65 % warm. Each server carries 22.5 of the 900 connections when warm and takes ten
// seconds to warm up. Three times that rate is N = 6.75 in the one-second overload window, of which N / 2 +
// sqrt(N) permits are issued: six for each server, thirty in all, about two of them to the same balancer.
TEST(Rules, PrefersWarmingServerWhenPermitIsAvailable) {
    for (const bool is_grouped : {false, true}) {
        int sent_to_warming = 0;
        for (uint64_t k = 0; k < 300; ++k) {
            std::vector<Endpoint> endpoints = make_endpoints(40);
            for (Endpoint& endpoint : endpoints) endpoint.weight = 1;
            for (size_t n = 0; n < 5; ++n) endpoints[n].launched = cycle_start - seconds(5);
            PolicyConfig config = make_replica_config(k);
            config.replica_count = 300;
            auto&& [actions, policy, inspector] = PolicyFixture(endpoints, config);
            for (RequestId id = 0; id < 3; ++id)
                adopt_connections(policy, cycle_start, endpoints[5 + (k + id * 7) % 35].server, id, 1);
            const TimePoint now = cycle_start + seconds(1.5);
            policy.on_request(now, make_request(9, now, "", is_grouped ? "g" + std::to_string(k) : ""));
            for (size_t n = 0; n < 5; ++n)
                if (actions.attempts.at(0).server == endpoints[n].server) ++sent_to_warming;
        }
        EXPECT_GE(sent_to_warming, 24);
        EXPECT_LE(sent_to_warming, 32);
    }
}

// Guards against the overload of a warming server, also when the requests sent there have already ended.
TEST(Rules, SendsWarmingServerNoMoreThanItsPermits) {
    Endpoint cold = make_endpoint("cold");
    cold.launched = cycle_start;
    auto&& [actions, policy, inspector] = PolicyFixture({make_endpoint("a"), cold});
    adopt_connections(policy, cycle_start, "a", 1, 40);
    // The server carries 20 connections when warm and takes ten seconds to warm up: three times that rate is
    // 6 per second. One request arrives every 50 ms from the fourth second on, and a hundred at the fifth
    // second.
    std::vector<TimePoint> sent;
    RequestId id = 100;
    for (TimePoint now = cycle_start + seconds(4); now < cycle_start + seconds(9); now = now + millis(50))
        for (int left = now == cycle_start + seconds(5) ? 100 : 1; left > 0; --left) {
            const size_t before = actions.attempts.size();
            policy.on_request(now, make_request(id, now));
            EXPECT_EQ(actions.attempts.size(), before + 1);
            if (actions.attempts.back().server == "cold") sent.push_back(now);
            policy.on_attempt_ended(now, id, 0, AttemptOutcome::completed, {}, true, {});
            ++id;
        }
    for (const TimePoint from : sent) {
        const auto within = [&](TimePoint at) { return at >= from && at - from < seconds(1); };
        EXPECT_TRUE(static_cast<double>(std::count_if(sent.begin(), sent.end(), within)) <=
                    6 + 2 * std::sqrt(6) + 2);
    }
    EXPECT_GE(sent.size(), 15u);  // limited, but not starved
}

// Guards against hundreds of balancers that together overload a new server, although each stays within its
// own permits. All discover the server at once, all other servers drain, and all reconnecting clients can
// only go to the new server.
TEST(Rules, HundredsOfBalancersTogetherStayWithinPermitsOfWarmingServer) {
    std::vector<Endpoint> endpoints = make_endpoints(20);
    for (Endpoint& endpoint : endpoints) endpoint.weight = 1;
    endpoints[0].launched = cycle_start;
    std::vector<int> attempts_in_step(110);
    for (uint64_t k = 0; k < 300; ++k) {
        PolicyConfig config = make_replica_config(k);
        config.replica_count = 300;
        auto&& [actions, policy, inspector] = PolicyFixture(endpoints, config);
        for (RequestId id = 0; id < 6; ++id)
            adopt_connections(policy, cycle_start, ServerId(1, static_cast<char>('B' + id)), id, 1);
        for (Endpoint& endpoint : endpoints)
            endpoint.state = endpoint.server == "A" ? EndpointState::active : EndpointState::draining;
        policy.on_endpoints(cycle_start, EndpointUpdateKind::delta, endpoints);
        for (Endpoint& endpoint : endpoints) endpoint.state = EndpointState::active;
        for (size_t step = 1; step < 100; ++step) {
            const TimePoint now = cycle_start + millis(100) * static_cast<double>(step);
            for (RequestId id = step * 10; id < step * 10 + 3; ++id) {
                policy.on_request(now, make_request(id, now));
                policy.on_attempt_ended(now, id, 0, AttemptOutcome::completed, {}, true, {});
                policy.on_client_gone(now, id);  // if it was queued
            }
            attempts_in_step[step] += static_cast<int>(actions.attempts.size());
            actions.attempts.clear();
        }
    }
    // 1,800 connections on twenty servers: the new server carries 90 when warm and takes ten seconds to warm
    // up. Three times that rate is 27 in the one-second overload window. A reconnecting client may add one to
    // the six connections that each balancer counts.
    const double max_in_second = 27 * 7.0 / 6;
    int all_attempts = 0;
    for (size_t step = 1; step < 100; ++step) {
        all_attempts += attempts_in_step[step];
        int in_second = 0;
        for (size_t k = step; k < std::min<size_t>(step + 10, 100); ++k) in_second += attempts_in_step[k];
        EXPECT_LE(in_second, max_in_second + 2 * std::sqrt(max_in_second) + 2);
    }
    EXPECT_GT(all_attempts, 60);  // limited, but not starved
}

TEST(Rules, QueuesRequestsWhileTheOnlyServerHasNoWarmUpPermits) {
    Endpoint cold = make_endpoint("cold");
    cold.launched = cycle_start;
    auto&& [actions, policy, inspector] = PolicyFixture({cold});
    const TimePoint now = cycle_start + seconds(1);
    for (RequestId id = 1; id <= 5; ++id) policy.on_request(now, make_request(id, now));
    EXPECT_EQ(actions.attempts.size(), 1u);
    EXPECT_TRUE(actions.rejected.empty());
    EXPECT_TRUE(inspector.request(2).queued);
    EXPECT_TRUE(inspector.request(5).queued);
}

TEST(Rules, RejectsQueuedRequestBeforeItsDeadline) {
    RecordingActions actions;
    BalancingPolicy policy(make_config(), 1, actions, cycle_start);
    policy.on_request(cycle_start, make_request(1, cycle_start));  // no server is known
    EXPECT_TRUE(actions.attempts.empty());
    EXPECT_TRUE(actions.rejected.empty());
    TimePoint now = cycle_start;
    for (int k = 0; k < 500 && actions.rejected.empty(); ++k)
        for (const auto& [due, token] : actions.take_timers()) {
            if (due >= cycle_start + seconds(2)) continue;
            now = std::max(now, due);
            policy.on_timer(now, token);
        }
    EXPECT_EQ(actions.rejected.size(), 1u);
    EXPECT_LT(now, cycle_start + seconds(2));
    EXPECT_GT(now, cycle_start + seconds(1.8));
}

TEST(Rules, SendsResumedStreamBackToItsServerEvenWhileItDrains) {
    PolicyConfig config = make_config();
    config.passthrough = true;
    config.parked_connection_lifetime = seconds(5);
    auto&& [actions, policy, inspector] = PolicyFixture(make_four_endpoints(), config);
    policy.on_request_adopted(cycle_start, make_request(1, cycle_start, "k"), "c");
    policy.on_attempt_ended(cycle_start, 1, 0, AttemptOutcome::cancelled, seconds(1), true, {});
    Endpoint draining = make_endpoint("c", 1, 1, 0);
    draining.state = EndpointState::draining;
    policy.on_endpoints(cycle_start, EndpointUpdateKind::delta, {draining});
    Request resumed = make_request(2, cycle_start, "k");
    resumed.mid_stream = true;
    policy.on_request(cycle_start + seconds(1), resumed);
    EXPECT_EQ(actions.attempts.at(0).server, "c");
    resumed.id = 3;
    resumed.deadline = cycle_start + seconds(8);
    policy.on_request(cycle_start + seconds(6), resumed);  // no longer parked there
    EXPECT_NE(actions.attempts.at(1).server, "c");
}

// If nine of ten requests are reset right after they were established, most reconnecting clients are
// rejected. New requests are not rejected. No request is rejected if the balancer has more connections than
// servers, or if the requests were old when they were reset.
TEST(Rules, RejectsReconnectsWhereEstablishedRequestsAreResetEarly) {
    const auto count_rejected = [](bool is_reconnect, int connections, Duration age_at_reset) {
        auto&& [actions, policy, inspector] = PolicyFixture(make_endpoints(20));
        for (int k = 0; k < connections; ++k)
            adopt_connections(policy, cycle_start, ServerId(1, static_cast<char>('A' + k % 20)), 500 + k, 1);
        for (RequestId id = 1; id <= 10; ++id) {
            policy.on_request(cycle_start, make_request(id, cycle_start));
            policy.on_attempt_established(cycle_start, id, 0, {});
        }
        const TimePoint now = cycle_start + age_at_reset;
        for (RequestId id = 1; id <= 9; ++id)
            policy.on_attempt_ended(now, id, 0, AttemptOutcome::reset, {}, true, {});
        const TimePoint later = now + seconds(4);
        for (RequestId id = 100; id < 200; ++id) {
            Request request = make_request(id, later);
            request.is_reconnect = is_reconnect;
            policy.on_request(later, request);
            policy.on_client_gone(later, id);
        }
        return actions.rejected.size();
    };
    EXPECT_GT(count_rejected(true, 0, millis(200)), 60);
    EXPECT_EQ(count_rejected(false, 0, millis(200)), 0);
    EXPECT_EQ(count_rejected(true, 60, millis(200)), 0);
    EXPECT_EQ(count_rejected(true, 0, seconds(20)), 0);
}
