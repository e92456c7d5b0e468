#include <deque>
#include <map>
#include <vector>

#include "discovery/endpoint_staleness.h"
#include "discovery/poll_backoff.h"
#include "policy_helpers.h"

// Simulates one service with a queue for all balancers and returns the time in seconds until all have the
// list, 300 if they do not get it. The service rejects a request after it has waited for two seconds but
// still spends the work on it, and rejects a request at once if four seconds of work are queued.
static double time_until_all_have_list(DiscoveryKind kind, int balancers, double requests_per_second) {
    std::vector<PollBackoff> backoffs;
    std::multimap<double, int> pending_requests;
    for (int k = 0; k < balancers; ++k) {
        backoffs.emplace_back(kind, seconds(10), 77 + k);
        pending_requests.emplace(0, k);
    }
    double busy_until = 0, last = 0;
    int have_list = 0;
    while (have_list < balancers && !pending_requests.empty() && pending_requests.begin()->first < 300) {
        const auto [now, k] = *pending_requests.begin();
        pending_requests.erase(pending_requests.begin());
        const double wait = std::max(0.0, busy_until - now);
        const double timeout = std::min(2.0, to_seconds(backoffs[k].response_timeout(true)));
        if (wait < 4) busy_until = now + wait + 1 / requests_per_second;
        if (wait + 1 / requests_per_second <= timeout) {
            ++have_list;
            last = now + wait;
        } else {
            const double failed_at = wait < 4 ? now + timeout : now;
            const PollFailure why =
                wait < 4 && timeout < 2 ? PollFailure::unreachable : PollFailure::rejected;
            pending_requests.emplace(failed_at + to_seconds(backoffs[k].next_pause(why)), k);
        }
    }
    return have_list == balancers ? last : 300;
}

TEST(PollBackoff, AllBalancersThatStartTogetherGetAList) {
    EXPECT_LT(time_until_all_have_list(DiscoveryKind::shared_service, 100, 5.5),
              45);  // 18 s if the service did no work in vain
    EXPECT_LT(time_until_all_have_list(DiscoveryKind::shared_service, 300, 30), 45);
    EXPECT_GT(time_until_all_have_list(DiscoveryKind::local_agent, 100, 5.5),
              100);  // with the timing for a local agent hardly any balancer gets the list
}

TEST(PollBackoff, PausesGrowToALimitAreRandomAndResetOnSuccess) {
    PollBackoff one(DiscoveryKind::shared_service, seconds(10), 1),
        other(DiscoveryKind::shared_service, seconds(10), 2);
    Duration longest;
    for (int k = 0; k < 20; ++k) {
        const Duration a = one.next_pause(PollFailure::rejected), b = other.next_pause(PollFailure::rejected);
        EXPECT_NE(a, b);
        EXPECT_GE(a, seconds(3.5));
        EXPECT_LE(a, seconds(40));
        EXPECT_TRUE((k > 0 || a <= seconds(10)));
        longest = std::max(longest, a);
    }
    EXPECT_GT(longest, seconds(20));
    one.on_success();
    EXPECT_LE(one.next_pause(PollFailure::rejected), seconds(10));
    EXPECT_LE(one.next_pause(PollFailure::unreachable),
              seconds(0.25));  // an unreachable service is not kept busy by retries
}

TEST(PollBackoff, ExtremePollIntervalsKeepTheTimeoutsWithinBounds) {
    for (const Duration poll_interval : {Duration{1}, seconds(0.5), seconds(4000), Duration{}}) {
        PollBackoff backoff(DiscoveryKind::shared_service, poll_interval, 1);
        EXPECT_EQ(backoff.watch_time(), seconds(1.5));  // independent of the poll interval
        EXPECT_GE(backoff.response_timeout(true), millis(250));
        EXPECT_GE(backoff.response_timeout(false), millis(250));
    }
}

// The balancer reaches an agent that was down or silent within 0.4 s, inside a drain grace period of 0.5 s.
TEST(PollBackoff, LocalAgentIsPolledQuickly) {
    PollBackoff agent(DiscoveryKind::local_agent, seconds(10), 1);
    agent.on_success();
    EXPECT_EQ(agent.watch_time(), seconds(0.5));
    EXPECT_EQ(agent.response_timeout(false), seconds(0.4));
    EXPECT_EQ(agent.next_pause(PollFailure::rejected), millis(50));
    EXPECT_EQ(agent.next_pause(PollFailure::rejected), millis(100));
    for (int k = 0; k < 9; ++k) agent.next_pause(PollFailure::unreachable);
    EXPECT_EQ(agent.next_pause(PollFailure::unreachable), millis(100));
    EXPECT_LE(agent.watch_time() + agent.response_timeout(false) + millis(100), seconds(0.4));
    EXPECT_EQ(agent.response_timeout(true), seconds(0.7));  // a snapshot takes longer
    agent.on_success();
    EXPECT_EQ(agent.watch_time(), seconds(0.5));
    EXPECT_EQ(agent.next_pause(PollFailure::unreachable), millis(50));
}

// Changes that a silent watch misses count as known 6 s after it went silent, and all balancers whose
// watches went silent together queue with their new requests.
TEST(PollBackoff, SilentSharedWatchTimesOutEarlyEnoughForAllBalancersToRequestAgain) {
    for (const Duration interval : {seconds(1), seconds(10), seconds(30), Duration{}}) {
        PollBackoff backoff(DiscoveryKind::shared_service, interval, 3);
        const Duration queue_timeout = backoff.response_timeout(false);
        backoff.on_success();
        EXPECT_LE(backoff.watch_time() + backoff.response_timeout(false), seconds(2));
        const Duration detection_time = backoff.watch_time() + backoff.response_timeout(false);
        EXPECT_LT(detection_time + backoff.next_pause(PollFailure::unreachable), seconds(3));
        EXPECT_EQ(backoff.response_timeout(false), queue_timeout);  // a new request waits in the queue
    }
}

TEST(PollBackoff, RetryAfterIsTheShortestPauseAndSpreadUpToTwiceAsLong) {
    PollBackoff a(DiscoveryKind::shared_service, seconds(10), 1),
        b(DiscoveryKind::shared_service, seconds(10), 2);
    Duration least = seconds(100), most;
    for (int k = 0; k < 100; ++k)
        for (PollBackoff* p : {&a, &b}) {
            const Duration pause = p->next_pause(PollFailure::rejected, seconds(4));
            least = std::min(least, pause), most = std::max(most, pause);
        }
    EXPECT_GE(least, seconds(4));
    EXPECT_LT(least, seconds(4.4));
    EXPECT_GT(most, seconds(7.6));
    EXPECT_LE(most, seconds(8));
    EXPECT_LE(a.next_pause(PollFailure::rejected, seconds(1e6)), seconds(60));
}

// A list counts as known six seconds after discovery had it and could be reached.
TEST(PollBackoff, ListIsStaleOnlyIfDiscoveryMayHaveAnsweredOtherBalancers) {
    const TimePoint start{1'000'000'000'000};
    const auto after = [&](double s) { return start + seconds(s); };
    EndpointStaleness rejected(start);
    rejected.on_request_failed(after(1), true);
    EXPECT_FALSE(rejected.is_stale(after(5.8)));
    EXPECT_TRUE(rejected.is_stale(after(5.95)));
    rejected.on_request_failed(after(8), true);
    EXPECT_TRUE(rejected.is_stale(after(8)));  // another rejection does not prolong the time
    rejected.on_list_received(after(9));
    EXPECT_FALSE(rejected.is_stale(after(30)));

    EndpointStaleness down(start);
    for (int k = 1; k < 60; ++k) down.on_request_failed(after(k), false);
    EXPECT_FALSE(down.is_stale(after(60)));   // an unreachable discovery alone does not make the list stale
    down.on_request_failed(after(60), true);  // discovery is up again and may have answered other balancers
    EXPECT_FALSE(down.is_stale(after(64.8)));
    EXPECT_TRUE(down.is_stale(after(65)));
    // An outage proves nothing about the time in which discovery could be reached.
    down.on_request_failed(after(66), false);
    EXPECT_TRUE(down.is_stale(after(66)));
    EXPECT_TRUE(down.is_stale(after(90)));
    down.on_list_received(after(90));
    EXPECT_FALSE(down.is_stale(after(120)));

    EndpointStaleness idle(start);
    EXPECT_FALSE(idle.is_stale(after(1000)));  // a watch that continues without changes
}
