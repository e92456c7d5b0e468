/// Tests of a discovery agent whose answers are late: a balancer that gives each request up before its answer
/// comes never learns that a server drains.
#include <algorithm>
#include <deque>
#include <memory>
#include <random>
#include <vector>

#include "proxy/balancer_fixture.h"

namespace {

// A change counts as known to the balancer at the latest this long after discovery had it and could be
// reached.
constexpr Duration propagation_allowance = seconds(6);

/// Plays the agent of a BalancerFixture: answers each request with the list, or with its change, as of the
/// moment at which the request's wait is over, and sends the answer late.
class SlowAgent {
   public:
    /// Returns by how much the next answer is late; negative: it is never sent.
    using Delay = std::function<Duration()>;

    explicit SlowAgent(BalancerFixture& fixture) : fixture_(fixture) {
        connections_.push_back(std::make_unique<Connection>(std::move(fixture.discovery)));
    }

    void set_delay(Delay delay) { delay_ = std::move(delay); }
    void set_delay(Duration delay) {
        delay_ = [delay] { return delay; };
    }

    /// Changes the state of the only server.
    void change(const std::string& lifecycle) {
        lifecycle_ = lifecycle;
        ++version_;
    }

    /// Runs the balancer until it has taken over `count` updates, for at most `limit`. Returns whether it
    /// has.
    bool runs_until_updates(uint64_t count, Duration limit) {
        const TimePoint end = Clock::now() + limit;
        while (Clock::now() < end) {
            if (fixture_.count(Counter::endpoint_updates) >= count) return true;
            step_for(millis(5));
        }
        return fixture_.count(Counter::endpoint_updates) >= count;
    }

    void step_for(Duration duration) {
        const TimePoint end = Clock::now() + duration;
        fixture_.run_until([&] {
            step();
            return Clock::now() >= end;
        });
    }

    /// Returns the number of connections that the balancer keeps open.
    size_t open_connections() const {
        return static_cast<size_t>(std::count_if(connections_.begin(), connections_.end(),
                                                 [](const auto& c) { return !c->peer.is_closed(); }));
    }

   private:
    struct Answer {
        std::string body;
        TimePoint due;
    };
    /// A request in the agent's hands, and the answers on their way.
    struct Connection {
        explicit Connection(Peer accepted) : peer(std::move(accepted)) {}
        Peer peer;
        bool is_watching = false;
        int64_t since = -1;
        TimePoint wait_end;
        std::deque<Answer> answers;
    };

    static int64_t number_after(const std::string& text, const std::string& name, int64_t otherwise) {
        const size_t at = text.find(name);
        return at == std::string::npos ? otherwise : std::stoll(text.substr(at + name.size()));
    }

    std::string list_since(int64_t since) const {
        const std::string entry = R"({"instanceId":"s","hostPort":")" + fixture_.server_listener.address +
                                  R"(","zone":"a","lifecycle":")" + lifecycle_ + R"("})";
        return R"({"generation":)" + std::to_string(version_) + R"(,"reset":)" +
               (since < 0 ? "true" : "false") + R"(,"instances":[)" + (since < version_ ? entry : "") + "]}";
    }

    void step() {
        while (std::optional<Peer> accepted = fixture_.discovery_listener.try_accept())
            connections_.push_back(std::make_unique<Connection>(std::move(*accepted)));
        for (const auto& connection : connections_) step(*connection);
    }

    void step(Connection& connection) {
        const TimePoint now = Clock::now();
        connection.peer.read();
        std::string& received = connection.peer.received;
        const size_t end = received.find("\r\n\r\n");
        if (!connection.is_watching && end != std::string::npos) {
            connection.since = number_after(received, "since=", -1);
            connection.wait_end = now + millis(static_cast<double>(number_after(received, "timeout_ms=", 0)));
            connection.is_watching = true;
            received.erase(0, end + 4);
        }
        if (connection.is_watching && (now >= connection.wait_end || version_ > connection.since)) {
            connection.is_watching = false;
            const Duration delay = delay_();
            if (delay >= Duration{})
                connection.answers.push_back({list_since(connection.since), now + delay});
        }
        while (!connection.answers.empty() && now >= connection.answers.front().due) {
            const std::string& body = connection.answers.front().body;
            connection.peer.write("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
                                  "\r\n\r\n" + body);
            connection.answers.pop_front();
        }
    }

    BalancerFixture& fixture_;
    std::vector<std::unique_ptr<Connection>> connections_;
    Delay delay_ = [] { return Duration{}; };
    std::string lifecycle_ = "SERVING";
    int64_t version_ = 5;
};

/// Expects that a new request is not sent to the only server, as it drains.
void expect_no_attempt(BalancerFixture& fixture) {
    const uint64_t started = fixture.count(Counter::attempts_started);
    Peer client = fixture.connect_client();
    EXPECT_TRUE(fixture.receives(client, "BUSY"));
    EXPECT_EQ(fixture.count(Counter::attempts_started), started);
}

}  // namespace

TEST(SlowDiscovery, DrainIsKnownInTimeHoweverLateTheAgentsAnswersAre) {
    for (const double late : {0.15, 0.3, 0.45, 0.6, 1.0, 2.0, 4.0}) {
        SCOPED_TRACE(late);
        BalancerFixture fixture;
        SlowAgent agent(fixture);
        ASSERT_TRUE(agent.runs_until_updates(1, seconds(2)));
        agent.set_delay(seconds(late));
        agent.step_for(seconds(1));
        agent.change("DRAINING");
        EXPECT_TRUE(agent.runs_until_updates(2, propagation_allowance));
        expect_no_attempt(fixture);
    }
}

// Guards against a balancer that gives up each request to a crowded shared service before its answer comes,
// and so never learns that a server drains.
TEST(SlowDiscovery, DrainIsKnownInTimeBesideASlowSharedService) {
    for (const double late : {1.2, 2.0, 2.8}) {
        SCOPED_TRACE(late);
        BalancerFixture fixture({.discovery_mode = "ask"});
        SlowAgent service(fixture);
        service.set_delay(seconds(late));
        EXPECT_TRUE(service.runs_until_updates(1, propagation_allowance));
        service.step_for(seconds(1));
        service.change("DRAINING");
        constexpr int steps = 3;  // a step takes two seconds at most
        for (int k = 0; k < steps; ++k) service.step_for(propagation_allowance * (1.0 / steps));
        expect_no_attempt(fixture);
    }
}

// The same after a new configuration: the new address is heard although each of its answers is late.
TEST(SlowDiscovery, SlowSharedServiceOfANewConfigurationIsHeard) {
    BalancerFixture fixture({.discovery_mode = "ask"});
    fixture.balancer->reload(fixture.config);
    fixture.discovery = fixture.accept(fixture.discovery_listener);
    SlowAgent service(fixture);
    service.set_delay(seconds(2.8));
    service.change("DRAINING");
    EXPECT_TRUE(service.runs_until_updates(1, propagation_allowance));
    expect_no_attempt(fixture);
}

TEST(SlowDiscovery, ChangesAreKnownInTimeWhileLatenessVaries) {
    for (const unsigned seed : {1U, 2U}) {
        SCOPED_TRACE(seed);
        std::mt19937 random(seed);
        BalancerFixture fixture;
        SlowAgent agent(fixture);
        ASSERT_TRUE(agent.runs_until_updates(1, seconds(2)));
        agent.set_delay([&random] { return millis(static_cast<double>(random() % 4000)); });
        for (uint64_t changes = 1; changes <= 3; ++changes) {
            agent.step_for(millis(static_cast<double>(random() % 1500)));
            agent.change(changes % 2 == 1 ? "DRAINING" : "SERVING");
            EXPECT_TRUE(agent.runs_until_updates(1 + changes, propagation_allowance)) << "change " << changes;
        }
        agent.set_delay(Duration{});
        agent.step_for(seconds(1));
        expect_no_attempt(fixture);
    }
}

// The whole list is awaited like a change: a process that starts beside a slow agent must not keep the list
// with which it was started.
TEST(SlowDiscovery, ProcessThatStartsBesideASlowAgentGetsTheList) {
    for (const double late : {0.9, 3.0}) {
        SCOPED_TRACE(late);
        BalancerFixture fixture;
        SlowAgent agent(fixture);
        agent.change("DRAINING");
        agent.set_delay(seconds(late));
        EXPECT_TRUE(agent.runs_until_updates(1, propagation_allowance));
        expect_no_attempt(fixture);
    }
}

// While the agent is silent the balancer must not pile up connections, and must hear the agent soon once it
// is back, also if what it was sent before is never answered.
TEST(SlowDiscovery, ConnectionsToASilentAgentAreFewAndItsReturnIsNoticedSoon) {
    BalancerFixture fixture;
    SlowAgent agent(fixture);
    ASSERT_TRUE(agent.runs_until_updates(1, seconds(2)));
    agent.set_delay(seconds(-1));
    size_t most = 0;
    for (int k = 0; k < 100; ++k) {
        agent.step_for(millis(100));
        most = std::max(most, agent.open_connections());
    }
    EXPECT_GE(most, 2u);
    EXPECT_LE(most, 10u);
    agent.change("DRAINING");
    agent.set_delay(Duration{});
    EXPECT_TRUE(agent.runs_until_updates(2, seconds(1)));
}

// An answer that a newer one has overtaken must not undo it.
TEST(SlowDiscovery, LateAnswerDoesNotUndoANewerOne) {
    BalancerFixture fixture;
    const auto list = [&](int version, const std::string& lifecycle) {
        return R"({"generation":)" + std::to_string(version) +
               R"(,"reset":true,"instances":[{"instanceId":"s","hostPort":")" +
               fixture.server_listener.address + R"(","zone":"a","lifecycle":")" + lifecycle + R"("}]})";
    };
    EXPECT_TRUE(fixture.receives(fixture.discovery, "GET /v1/servers HTTP/1.1\r\n"));
    Peer slow = std::move(fixture.discovery);
    fixture.discovery = fixture.accept(fixture.discovery_listener);  // the first request is late
    EXPECT_TRUE(fixture.receives(fixture.discovery, "GET /v1/servers HTTP/1.1\r\n"));
    fixture.send_endpoints(list(7, "DRAINING"));
    EXPECT_TRUE(fixture.run_until([&] { return fixture.count(Counter::endpoint_updates) == 1; }));
    std::swap(slow, fixture.discovery);
    fixture.send_endpoints(list(6, "SERVING"));
    EXPECT_TRUE(fixture.run_until([&] { return fixture.count(Counter::discovery_responses_late) == 1; }));
    EXPECT_EQ(fixture.count(Counter::endpoint_updates), 1u);
    expect_no_attempt(fixture);
    // The next change is still received.
    std::swap(slow, fixture.discovery);
    EXPECT_TRUE(fixture.receives(fixture.discovery, "since=7"));
    fixture.send_endpoints(list(8, "SERVING"));
    EXPECT_TRUE(fixture.run_until([&] { return fixture.count(Counter::endpoint_updates) == 2; }));
}

// What a late request brings is judged like any response: errors and malformed lists leave the known list as
// it is.
TEST(SlowDiscovery, UnusableLateAnswersAreIgnored) {
    for (const char* answer : {"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", "SSH-2.0\r\n",
                               "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{]",
                               "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{"}) {
        SCOPED_TRACE(answer);
        BalancerFixture fixture;
        EXPECT_TRUE(fixture.receives(fixture.discovery, "GET /v1/servers HTTP/1.1\r\n"));
        Peer late = std::move(fixture.discovery);
        fixture.discovery = fixture.accept(fixture.discovery_listener);
        late.write(answer);
        late.send_fin();
        EXPECT_TRUE(fixture.receives(fixture.discovery, "GET /v1/servers HTTP/1.1\r\n"));
        fixture.send_endpoints(R"({"generation":6,"reset":true,"instances":[]})");
        EXPECT_TRUE(fixture.run_until([&] { return fixture.count(Counter::endpoint_updates) == 1; }));
        EXPECT_TRUE(fixture.receives(fixture.discovery, "since=6"));
    }
}
