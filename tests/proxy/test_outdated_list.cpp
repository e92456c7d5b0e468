/// Tests of a balancer whose endpoint list may lack drains that count as known: new requests must not go by
/// it.
#include <map>
#include <vector>

#include "proxy/balancer_fixture.h"

namespace {

constexpr Duration poll_interval = seconds(4);  // of a BalancerFixture

/// Plays the discovery service of a BalancerFixture on all connections that the balancer opens.
class Discovery {
   public:
    enum class Manner {
        serves,   ///< answers each request: with the list, or a watch when its time is over
        rejects,  ///< answers 503
        silent,   ///< accepts and reads
    };

    Discovery(BalancerFixture& fixture, Manner initial_manner) : manner(initial_manner), fixture_(fixture) {
        connections_.push_back(std::move(fixture.discovery));
    }

    void run_for(Duration duration) {
        const TimePoint end = Clock::now() + duration;
        while (Clock::now() < end) {
            step();
            fixture_.run_for(millis(5));
        }
    }

    void reset_connections() {
        for (Peer& peer : connections_) peer.send_reset();
        connections_.clear();
        due_.clear();
    }

    /// Resets all connections and refuses new ones until come_back() is called.
    void go_down() {
        reset_connections();
        fixture_.discovery_listener.fd.close();
    }
    void come_back() {
        fixture_.discovery_listener.fd = listen_on(*Address::from(fixture_.discovery_listener.address));
    }

    Manner manner;
    Duration delay;  ///< of each answer

   private:
    void step() {
        while (fixture_.discovery_listener.fd) {
            std::optional<Peer> peer = fixture_.discovery_listener.try_accept();
            if (!peer) break;
            connections_.push_back(std::move(*peer));
        }
        for (Peer& peer : connections_) step(peer);
    }

    void step(Peer& peer) {
        peer.read();
        if (manner == Manner::silent || peer.received.find("\r\n\r\n") == std::string::npos) return;
        const TimePoint due = due_.emplace(peer.fd.get(), Clock::now() + delay).first->second;
        if (Clock::now() < due) return;
        due_.erase(peer.fd.get());
        peer.received.clear();
        if (manner == Manner::rejects) return peer.write("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
        const std::string list =
            R"({"generation":5,"reset":true,"instances":[{"instanceId":"s","hostPort":")" +
            fixture_.server_listener.address + R"(","zone":"a","lifecycle":"SERVING"}]})";
        peer.write("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(list.size()) + "\r\n\r\n" + list);
    }

    BalancerFixture& fixture_;
    std::vector<Peer> connections_;
    std::map<int, TimePoint> due_;  // of the answer on each connection with a request, by descriptor
};

/// Sends a new request; returns whether it reached the only server, and expects BUSY where it did not.
bool is_sent_to_server(BalancerFixture& fixture, Discovery& discovery) {
    const uint64_t started = fixture.count(Counter::attempts_started);
    Peer client = fixture.connect_client();
    discovery.run_for(millis(50));
    if (fixture.count(Counter::attempts_started) > started) return true;
    EXPECT_TRUE(fixture.receives(client, "BUSY"));
    return false;
}

}  // namespace

// Guards against requests to servers that drain, sent by a process that starts with its cached list while
// discovery is down and the local agent is silent.
TEST(OutdatedList, CachedPushedListIsNotUsedPastTheDrainGraceBesideASilentAgent) {
    BalancerFixture fixture({.drain_grace = seconds(1)});
    const TimePoint started = Clock::now();
    Discovery discovery(fixture, Discovery::Manner::silent);
    EXPECT_TRUE(is_sent_to_server(fixture, discovery));
    discovery.run_for(started + seconds(1.05) - Clock::now());
    EXPECT_FALSE(is_sent_to_server(fixture, discovery));
    discovery.run_for(seconds(6));
    EXPECT_FALSE(is_sent_to_server(fixture, discovery));
    EXPECT_EQ(fixture.count(Counter::refused_for_outdated_list), 2u);
    EXPECT_NE(fixture.log_text.str().find("endpoint_list_outdated"), std::string::npos);
    discovery.manner = Discovery::Manner::serves;
    discovery.run_for(seconds(1));
    EXPECT_TRUE(is_sent_to_server(fixture, discovery));
    EXPECT_NE(fixture.log_text.str().find("endpoint_list_current"), std::string::npos);
}

// Guards against requests to servers that drain, sent by a process that starts with its cached list while the
// shared discovery rejects requests, leaves them waiting or cannot be reached.
TEST(OutdatedList, CachedPolledListIsNotUsedPastTheDrainGraceWithoutAnAnswerOfDiscovery) {
    enum class Trouble { rejects, silent, down };
    for (const Trouble trouble : {Trouble::rejects, Trouble::silent, Trouble::down}) {
        SCOPED_TRACE(static_cast<int>(trouble));
        BalancerFixture fixture({.discovery_mode = "ask", .drain_grace = seconds(0.5)});
        const TimePoint started = Clock::now();
        using Manner = Discovery::Manner;
        Discovery discovery(fixture, trouble == Trouble::rejects ? Manner::rejects : Manner::silent);
        if (trouble == Trouble::down) discovery.go_down();
        EXPECT_TRUE(is_sent_to_server(fixture, discovery));
        discovery.run_for(started + seconds(0.55) - Clock::now());
        EXPECT_FALSE(is_sent_to_server(fixture, discovery));
        discovery.run_for(seconds(3));
        EXPECT_FALSE(is_sent_to_server(fixture, discovery));
        if (trouble == Trouble::down) discovery.come_back();
        discovery.manner = Manner::serves;
        // A balancer that was rejected twice pauses for up to two poll intervals.
        const TimePoint end = Clock::now() + poll_interval * 2;
        while (fixture.count(Counter::endpoint_updates) == 0 && Clock::now() < end)
            discovery.run_for(millis(10));
        EXPECT_TRUE(is_sent_to_server(fixture, discovery));
    }
}

// An agent that has been heard since the start and is silent now has learned nothing since: the list stays in
// use for as long as the outage lasts.
TEST(OutdatedList, PushedListThatWasReceivedStaysInUseBesideASilentAgent) {
    BalancerFixture fixture({.drain_grace = seconds(1)});
    Discovery discovery(fixture, Discovery::Manner::serves);
    discovery.run_for(seconds(0.5));
    discovery.manner = Discovery::Manner::silent;
    discovery.run_for(seconds(8));
    EXPECT_TRUE(is_sent_to_server(fixture, discovery));
}

// Guards against requests to servers that drain, sent once a refused call of an outage has made the balancer
// forget that discovery had turned it away before and may have told others of changes.
TEST(OutdatedList, OutageDoesNotRenewAListThatBecameOutdatedWhileDiscoveryRejected) {
    BalancerFixture fixture({.discovery_mode = "ask"});
    Discovery discovery(fixture, Discovery::Manner::serves);
    discovery.run_for(seconds(0.3));
    const TimePoint confirmed = Clock::now();
    discovery.manner = Discovery::Manner::rejects;
    discovery.reset_connections();
    const uint64_t failed = fixture.count(Counter::discovery_requests_failed);
    while (fixture.count(Counter::discovery_requests_failed) < failed + 2) discovery.run_for(millis(10));
    discovery.go_down();
    EXPECT_TRUE(is_sent_to_server(fixture, discovery));  // a change may be unknown for some seconds
    discovery.run_for(confirmed + seconds(6.1) - Clock::now());
    EXPECT_FALSE(is_sent_to_server(fixture, discovery));
    discovery.run_for(seconds(6));
    EXPECT_GE(fixture.count(Counter::discovery_requests_failed), failed + 3);
    EXPECT_FALSE(is_sent_to_server(fixture, discovery));
    discovery.manner = Discovery::Manner::serves;
    discovery.come_back();
    discovery.run_for(seconds(2));
    EXPECT_TRUE(is_sent_to_server(fixture, discovery));
}

// Guards against requests to servers that drain, sent later than 4 s after a new configuration whose
// discovery rejects requests; a second configuration must not give the balancer more time.
TEST(OutdatedList, ListIsOutdatedFourSecondsAfterAReloadToADiscoveryThatRejects) {
    BalancerFixture fixture({.discovery_mode = "ask"});
    Discovery old_discovery(fixture, Discovery::Manner::serves);
    old_discovery.run_for(seconds(0.3));
    const Listener rejecting;
    BootstrapConfig next = fixture.config;
    next.discovery = rejecting.address;
    const TimePoint reloaded = Clock::now();
    fixture.balancer->reload(next);
    std::vector<Peer> rejected;
    const auto run_until = [&](Duration after_reload) {
        while (Clock::now() < reloaded + after_reload) {
            if (std::optional<Peer> peer = rejecting.try_accept()) {
                peer->write("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
                rejected.push_back(std::move(*peer));
            }
            old_discovery.run_for(millis(10));
        }
    };
    run_until(seconds(2));
    EXPECT_FALSE(rejected.empty());
    fixture.balancer->reload(next);
    run_until(seconds(3.5));
    EXPECT_TRUE(is_sent_to_server(fixture, old_discovery));
    run_until(seconds(4.1));
    EXPECT_FALSE(is_sent_to_server(fixture, old_discovery));
}

// Guards against requests to servers that drain, sent while a crowded discovery rejects each request only
// after the balancer has stopped to wait for it.
TEST(OutdatedList, LateRejectionsMakeTheListOutdated) {
    BalancerFixture fixture({.discovery_mode = "ask"});
    Discovery discovery(fixture, Discovery::Manner::serves);
    discovery.run_for(seconds(0.3));
    const TimePoint confirmed = Clock::now();
    discovery.manner = Discovery::Manner::rejects;
    discovery.delay = seconds(3);  // a watch of 1.5 s and a quarter of the poll interval are shorter
    discovery.reset_connections();
    discovery.run_for(confirmed + seconds(5) - Clock::now());
    EXPECT_TRUE(is_sent_to_server(fixture, discovery));
    discovery.run_for(confirmed + seconds(7) - Clock::now());
    EXPECT_FALSE(is_sent_to_server(fixture, discovery));
}

// While discovery cannot be reached, no balancer can learn of a change: the list stays in use.
TEST(OutdatedList, PolledListStaysInUseDuringAnOutage) {
    BalancerFixture fixture({.discovery_mode = "ask", .drain_grace = seconds(0.5)});
    Discovery discovery(fixture, Discovery::Manner::serves);
    discovery.run_for(seconds(0.3));
    discovery.go_down();
    discovery.run_for(seconds(9));
    EXPECT_TRUE(is_sent_to_server(fixture, discovery));
}

// What the local agent has counts as known to the balancer also while the agent fails to tell it.
TEST(OutdatedList, PushedListIsOutdatedIfTheAgentAnswersWithoutAList) {
    BalancerFixture fixture;
    Discovery discovery(fixture, Discovery::Manner::serves);
    discovery.run_for(seconds(0.3));
    discovery.manner = Discovery::Manner::rejects;
    discovery.run_for(seconds(5));
    EXPECT_TRUE(is_sent_to_server(fixture, discovery));
    discovery.run_for(seconds(1.5));
    EXPECT_FALSE(is_sent_to_server(fixture, discovery));
}
