/// Tests of connections that end at critical moments; the cases are the rows of docs/endings.md.
#include <functional>

#include "policy_helpers.h"
#include "proxy/balancer_fixture.h"
#include "proxy/socket_peers.h"
#include "transport/lingering_closer.h"

/// Runs one turn of the loop, so that the test controls the order of events. epoll reports events in the
/// order in which they became ready, and libev handles them from the last to the first: the connection to the
/// server is handled before the client that disconnected earlier.
static void turn_once(BalancerFixture& fixture) { ev_run(fixture.loop, EVRUN_NOWAIT); }

static void wait_for_attempts(BalancerFixture& fixture, uint64_t count) {
    for (int turns = 0; turns < 2000 && fixture.count(Counter::attempts_started) < count; ++turns) {
        turn_once(fixture);
        usleep(200);
    }
}

/// Expects that the request has ended and that no byte of it reached the server.
static void expect_not_forwarded(BalancerFixture& fixture) {
    EXPECT_TRUE(fixture.run_until([&] {
        return fixture.count(Counter::requests_left_by_client) + fixture.count(Counter::requests_failed) == 1;
    }));
    fixture.run_for(seconds(0.05));
    while (std::optional<Peer> server = fixture.server_listener.try_accept()) {
        fixture.sees_close(*server);
        EXPECT_TRUE(server->received.empty());
    }
    EXPECT_EQ(fixture.count(Counter::requests_established), 0u);
    EXPECT_EQ(fixture.count(Counter::broken_invariants), 0u);
}

/// The way in which a client disconnects: last bytes, then FIN or reset.
struct DisconnectKind {
    std::string last_bytes;
    bool is_reset;

    void disconnect(Peer& client) const {
        if (!last_bytes.empty()) client.write(last_bytes);
        if (is_reset)
            client.send_reset();
        else
            client.send_fin();
    }
};
static const DisconnectKind disconnect_kinds[] = {
    {"", false}, {"", true}, {"more\r\n", false}, {"more\r\n", true}};

// The loop does not run while the connection to the server is established and the client disconnects.
TEST(ConnectionEnds, DoesNotForwardIfTheClientDisconnectsWhileItsAttemptConnects) {
    for (const DisconnectKind& kind : disconnect_kinds) {
        BalancerFixture fixture;
        fcntl(fixture.server_listener.fd.get(), F_SETFL, O_NONBLOCK);
        Peer client = fixture.connect_client();
        wait_for_attempts(fixture, 1);
        EXPECT_EQ(fixture.count(Counter::attempts_started), 1u);
        kind.disconnect(client);
        usleep(20'000);
        expect_not_forwarded(fixture);
    }
}

// The client sends its line and disconnects before the balancer accepts the connection: the balancer must
// read the line and the end of the stream after it.
TEST(ConnectionEnds, DoesNotForwardIfTheClientDisconnectsInTheListenerQueue) {
    for (const DisconnectKind& kind : disconnect_kinds) {
        BalancerFixture fixture;
        fcntl(fixture.server_listener.fd.get(), F_SETFL, O_NONBLOCK);
        Peer client = fixture.connect_client();
        EXPECT_EQ(fixture.count(Counter::connections_accepted), 0u);
        usleep(20'000);
        kind.disconnect(client);
        usleep(20'000);
        for (int k = 0; k < 20; ++k) turn_once(fixture);
        fixture.run_for(seconds(0.05));
        while (std::optional<Peer> server = fixture.server_listener.try_accept()) {
            EXPECT_TRUE(fixture.sees_close(*server));
            EXPECT_TRUE(server->received.empty());
        }
        EXPECT_EQ(fixture.count(Counter::requests_established), 0u);
        EXPECT_EQ(fixture.balancer->counters()[Counter::broken_invariants], 0);
    }
}

// Guards against usual clients that wait behind connections whose clients have left the listener's queue.
TEST(ConnectionEnds, ClosesAConnectionUnreadIfItIsResetWhenItIsAccepted) {
    BalancerFixture fixture;
    Peer departed = fixture.connect_client();
    departed.send_reset();
    EXPECT_TRUE(fixture.run_until([&] { return fixture.count(Counter::connections_reset_in_queue) == 1; }));
    EXPECT_EQ(fixture.count(Counter::requests_accepted), 0u);
    EXPECT_EQ(fixture.count(Counter::attempts_started), 0u);
    fixture.establish();
}

// The server has just rejected the request, and the client has disconnected: the retry sends no byte.
TEST(ConnectionEnds, DoesNotForwardIfTheClientDisconnectsBetweenTwoAttempts) {
    for (const DisconnectKind& kind : disconnect_kinds) {
        BalancerFixture fixture;
        fcntl(fixture.server_listener.fd.get(), F_SETFL, O_NONBLOCK);
        fixture.send_endpoints(R"({"generation":5,"reset":true,"instances":[{"instanceId":"s","hostPort":")" +
                               fixture.server_listener.address +
                               R"(","lifecycle":"SERVING"},{"instanceId":"t","hostPort":")" +
                               fixture.server_listener.address + R"(","lifecycle":"SERVING"}]})");
        EXPECT_TRUE(fixture.run_until([&] { return fixture.count(Counter::endpoint_updates) == 1; }));
        Peer client = fixture.connect_client();
        Peer server = fixture.accept_attempt();
        server.write("BUSY\r\n");
        wait_for_attempts(fixture, 2);
        EXPECT_EQ(fixture.count(Counter::attempts_started), 2u);
        kind.disconnect(client);
        usleep(20'000);
        expect_not_forwarded(fixture);
    }
}

// The request is queued, as no server is listed; the client disconnects before one is listed again.
TEST(ConnectionEnds, DoesNotForwardIfTheClientDisconnectsWhileQueued) {
    for (const DisconnectKind& kind : disconnect_kinds) {
        BalancerFixture fixture;
        fcntl(fixture.server_listener.fd.get(), F_SETFL, O_NONBLOCK);
        fixture.send_endpoints(R"({"generation":5,"reset":true,"instances":[]})");
        EXPECT_TRUE(fixture.run_until([&] { return fixture.count(Counter::endpoint_updates) == 1; }));
        Peer client = fixture.connect_client();
        EXPECT_TRUE(fixture.run_until([&] { return fixture.count(Counter::requests_accepted) == 1; }));
        for (int k = 0; k < 20; ++k) turn_once(fixture);
        EXPECT_EQ(fixture.count(Counter::attempts_started), 0u);
        kind.disconnect(client);
        usleep(20'000);
        fixture.send_endpoints(R"({"generation":6,"reset":true,"instances":[{"instanceId":"s","hostPort":")" +
                               fixture.server_listener.address + R"(","lifecycle":"SERVING"}]})");
        expect_not_forwarded(fixture);
        EXPECT_TRUE(fixture.run_until([&] { return fixture.count(Counter::endpoint_updates) == 2; }));
        fixture.run_for(seconds(0.1));
        EXPECT_EQ(fixture.count(Counter::attempts_started), 0u);
    }
}

// The answer is BUSY, as the request is idempotent.
TEST(ConnectionEnds, AnswersAClientThatHasOnlyClosedItsSendingSide) {
    BalancerFixture fixture;
    Peer client = fixture.connect_client();
    Peer server = fixture.accept_attempt();
    client.send_fin();
    EXPECT_TRUE(fixture.sees_close(server));
    EXPECT_TRUE(fixture.receives(client, "BUSY\r\n"));
    EXPECT_TRUE(fixture.sees_close(client));
    EXPECT_TRUE(client.saw_fin);
    EXPECT_EQ(fixture.count(Counter::requests_left_by_client), 1u);
}

// The watch stalls; then, in an outage, discovery accepts connections but answers no request.
TEST(ConnectionEnds, ReceivesTheEndpointListHalfASecondAfterDiscoveryRecovers) {
    BalancerFixture fixture;
    EXPECT_TRUE(fixture.receives(fixture.discovery, "GET /v1/servers HTTP/1.1"));
    fixture.send_endpoints(R"({"generation":5,"reset":true,"instances":[{"instanceId":"s","hostPort":")" +
                           fixture.server_listener.address + R"(","lifecycle":"SERVING"}]})");
    EXPECT_TRUE(fixture.receives(fixture.discovery, "since=5"));
    const TimePoint silent_from = Clock::now();
    Peer unanswered = fixture.accept(fixture.discovery_listener);  // the balancer reopens the silent watch
    EXPECT_LT(Clock::now() - silent_from, seconds(1.1));
    while (Clock::now() - silent_from < seconds(3)) {
        std::optional<Peer> next = fixture.discovery_listener.try_accept();
        fixture.run_for(seconds(0.01));
        if (next) unanswered = std::move(*next);
    }
    const TimePoint recovered_at = Clock::now();
    fixture.discovery = fixture.accept(fixture.discovery_listener);
    EXPECT_TRUE(fixture.receives(fixture.discovery, "since=5"));
    fixture.send_endpoints(R"({"generation":6,"reset":false,"instances":[{"instanceId":"s","hostPort":")" +
                           fixture.server_listener.address + R"(","lifecycle":"DRAINING"}]})");
    EXPECT_TRUE(fixture.run_until([&] { return fixture.count(Counter::endpoint_updates) == 2; }));
    EXPECT_LT(Clock::now() - recovered_at, seconds(0.5));
}

// Guards against losing an answer when the lingering connection is evicted while its client still has to read
// the answer and the balancer has unread bytes of the client.
TEST(ConnectionEnds, DeliversTheAnswerWhenTheLingeringConnectionIsEvicted) {
    EventLoopFixture fixture;
    Listener listener;
    Peer client = {FileDescriptor(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)), {}};
    const int small_buffer = 4096;
    setsockopt(client.fd.get(), SOL_SOCKET, SO_RCVBUF, &small_buffer, sizeof small_buffer);
    const Address address = *Address::from(listener.address);
    (void)connect(client.fd.get(), reinterpret_cast<const sockaddr*>(&address.bytes), address.size);
    std::optional<Peer> accepted = listener.try_accept();
    ASSERT_TRUE(accepted);
    fcntl(accepted->fd.get(), F_SETFL, O_NONBLOCK);
    struct IgnoringOwner : LineConnection::Owner {
        void on_bytes(LineConnection&, std::string_view, bool) override {}
        void on_closed(LineConnection&, CloseReason) override {}
    } owner;
    auto connection = std::make_unique<LineConnection>(fixture.loop, std::move(accepted->fd), owner, 1);
    connection->start();
    const std::string last = std::string(60'000, 'y') + "\r\nERR\r\n";
    connection->send(last);
    connection->finish();
    EXPECT_EQ(connection->unsent_bytes(), 0);
    client.write(std::string(100'000, 'x'));
    usleep(20'000);
    LingeringCloser lingering_closer(fixture.loop);
    lingering_closer.add(std::move(connection));
    EXPECT_TRUE(lingering_closer.evict_oldest());
    EXPECT_FALSE(lingering_closer.evict_oldest());
    EXPECT_TRUE(fixture.sees_close(client));
    EXPECT_EQ(client.received, last);
    EXPECT_TRUE(client.saw_fin);
}

// The connection that would be evicted next has an unread request when other clients connect: the balancer
// must read the request instead of evicting the connection. An evicted prober is answered BUSY, as a request
// of its own may already be on the way.
TEST(ConnectionEnds, ServesOrAnswersAProberThatSendsARequest) {
    BalancerFixture fixture({.max_descriptors = FileDescriptor::open_count() + 400});
    std::vector<Peer> probers;
    std::vector<Peer> others;
    for (int k = 0; k < 50; ++k) {
        probers.push_back(connect_peer(fixture.config.listen));
        probers.back().write("PING\r\n");
        turn_once(fixture);
    }
    for (Peer& peer : probers) EXPECT_TRUE(fixture.receives(peer, "PONG\r\n"));
    fixture.run_for(seconds(0.15));
    // The loop does not run while this request and the other connections arrive.
    probers[0].write(fixture.make_request_line("c=chat,d=900"));
    usleep(5'000);
    for (int k = 0; k < 30; ++k) others.push_back(connect_peer(fixture.config.listen));
    usleep(5'000);
    Peer server = fixture.accept_attempt();
    server.write("UP r\r\n");
    EXPECT_TRUE(fixture.receives(probers[0], "UP r\r\n"));
    EXPECT_GT(fixture.count(Counter::clients_cut), 0u);
    for (size_t k = 1; k < probers.size(); ++k) {
        probers[k].read();
        if (probers[k].saw_fin) {
            EXPECT_EQ(probers[k].received, "PONG\r\nBUSY\r\n");
        }
    }
}

// A shared discovery has rejected this balancer for six seconds, while other balancers may already know that
// a server drains. If discovery does not answer at all, the balancer goes on forwarding.
TEST(ConnectionEnds, DoesNotForwardWhileARejectingDiscoveryMayHaveANewerList) {
    for (const bool rejects : {true, false}) {
        BalancerFixture fixture({.discovery_mode = "ask"});
        fcntl(fixture.server_listener.fd.get(), F_SETFL, O_NONBLOCK);
        const std::string list =
            R"({"generation":5,"reset":true,"instances":[{"instanceId":"s","hostPort":")" +
            fixture.server_listener.address + R"(","lifecycle":"SERVING"}]})";
        EXPECT_TRUE(fixture.receives(fixture.discovery, "GET /v1/servers"));
        fixture.send_endpoints(list);
        EXPECT_TRUE(fixture.run_until([&] { return fixture.count(Counter::endpoint_updates) == 1; }));
        const TimePoint list_received_at = Clock::now();
        std::vector<Peer> polls;
        polls.push_back(std::move(fixture.discovery));
        bool answers = false;
        const auto answer_polls = [&] {
            if (std::optional<Peer> poll = fixture.discovery_listener.try_accept())
                polls.push_back(std::move(*poll));
            for (Peer& peer : polls) {
                peer.read();
                if (peer.received.find("\r\n\r\n") == std::string::npos) continue;
                peer.received.clear();
                if (answers)
                    peer.write("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(list.size()) +
                               "\r\n\r\n" + list);
                else if (rejects)
                    peer.write("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
            }
            fixture.run_for(seconds(0.01));
        };
        while (Clock::now() - list_received_at < seconds(5.5)) answer_polls();
        Peer early = fixture.connect_client();
        Peer server = fixture.accept_attempt();
        server.write("UP r\r\n");
        EXPECT_TRUE(fixture.receives(early, "UP r\r\n"));
        while (Clock::now() - list_received_at < seconds(6.1)) answer_polls();
        Peer late = fixture.connect_client();
        if (!rejects) {
            Peer next = fixture.accept_attempt();
            continue;
        }
        EXPECT_TRUE(fixture.receives(late, "BUSY"));
        EXPECT_TRUE(fixture.sees_close(late));
        EXPECT_EQ(fixture.count(Counter::refused_for_outdated_list), 1u);
        EXPECT_EQ(fixture.count(Counter::attempts_started), 1u);
        early.write("still here\r\n");  // established requests continue
        EXPECT_TRUE(fixture.receives(server, "still here\r\n"));
        server.write("heard\r\n");  // without a line the server would count as silent
        answers = true;
        while (fixture.count(Counter::endpoint_updates) < 2 && Clock::now() - list_received_at < seconds(40))
            answer_polls();
        EXPECT_EQ(fixture.count(Counter::endpoint_updates), 2u);
        Peer after = fixture.connect_client();
        Peer next = fixture.accept_attempt();
    }
}
