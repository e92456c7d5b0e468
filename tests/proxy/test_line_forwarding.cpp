/// Tests of forwarding lines, FIN and reset between a client and its server through a complete balancer.
#include <string_view>
#include <vector>

#include "proxy/balancer_fixture.h"

TEST(LineForwarding, ForwardsLinesUnchangedBothWays) {
    BalancerFixture fixture;
    auto [client, server] = fixture.establish();
    client.write("one\r\ntwo");
    EXPECT_TRUE(fixture.receives(server, "one\r\n"));
    client.write("\r\n");
    server.write("LOAD 5000\r\n \x01odd\r\n");
    EXPECT_TRUE(fixture.receives(server, "two\r\n"));
    EXPECT_TRUE(fixture.receives(client, "LOAD 5000\r\n \x01odd\r\n"));
    EXPECT_EQ(fixture.count(Counter::load_reports), 1u);
    const std::string endless(3 * max_line_length, 'x');
    server.write(endless);
    EXPECT_TRUE(fixture.receives(client, std::string(2 * max_line_length, 'x')));
    server.write("\r\nBYE\r\n");
    server.send_fin();
    EXPECT_TRUE(fixture.receives(client, "BYE\r\n"));
    EXPECT_TRUE(fixture.sees_close(client));
    EXPECT_TRUE(client.saw_fin);
    EXPECT_EQ(fixture.count(Counter::requests_completed), 1u);
}

TEST(LineForwarding, ForwardsFinAsFinAndResetAsReset) {
    BalancerFixture fixture;
    auto [client, server] = fixture.establish();
    client.send_reset();
    EXPECT_TRUE(fixture.sees_close(server));
    EXPECT_TRUE(server.saw_reset);
    auto [second_client, second_server] = fixture.establish();
    second_client.write("last\r\n");
    second_client.send_fin();
    EXPECT_TRUE(fixture.receives(second_server, "last\r\n"));
    EXPECT_TRUE(fixture.sees_close(second_server));
    EXPECT_TRUE(second_server.saw_fin);
    auto [third_client, third_server] = fixture.establish();
    third_server.send_reset();
    EXPECT_TRUE(fixture.sees_close(third_client));
    EXPECT_TRUE(third_client.saw_reset);
}

// Guards against losing an answer because closing a connection with unread input resets it.
TEST(LineForwarding, DeliversTheAnswerWhenClientBytesAreUnread) {
    BalancerFixture fixture;
    Peer client = connect_peer(fixture.config.listen);
    const std::string many_bytes(1 << 20, 'y');
    size_t sent = 0;
    EXPECT_TRUE(fixture.run_until([&] {
        const ssize_t count = ::send(client.fd.get(), many_bytes.data(), many_bytes.size(), MSG_NOSIGNAL);
        if (count > 0) sent += static_cast<size_t>(count);
        EXPECT_TRUE(LineConnection::total_buffered_bytes() < (64 << 10));
        return sent > (size_t{60} << 20);
    }));
    EXPECT_TRUE(fixture.receives(client, "ERR\r\n"));
    EXPECT_TRUE(fixture.sees_close(client));
    EXPECT_TRUE(client.saw_fin);
    EXPECT_EQ(fixture.count(Counter::attempts_started), 0u);
}

TEST(LineForwarding, AnswersWithAnErrorIfTheClientSendsBeforeItsAnswer) {
    BalancerFixture fixture;
    const std::string two =
        fixture.make_request_line("c=chat,d=900") + fixture.make_request_line("c=chat,d=900");
    Peer client = connect_peer(fixture.config.listen);
    client.write(two);
    EXPECT_TRUE(fixture.receives(client, "ERR\r\n"));
    EXPECT_TRUE(fixture.sees_close(client));
    EXPECT_TRUE(client.saw_fin);
    EXPECT_EQ(fixture.count(Counter::attempts_started), 0u);
    Peer waiting = fixture.connect_client();
    Peer server = fixture.accept_attempt();
    waiting.write("more\r\n");
    EXPECT_TRUE(fixture.receives(waiting, "ERR\r\n"));
    EXPECT_TRUE(fixture.sees_close(waiting));
    EXPECT_TRUE(waiting.saw_fin);
    EXPECT_TRUE(fixture.sees_close(server));
    Peer prober = connect_peer(fixture.config.listen);  // does not read its answers
    std::string pings;
    for (int k = 0; k < 4000; ++k) pings += "PING\r\n";
    EXPECT_TRUE(fixture.run_until([&] {
        prober.write(pings);
        EXPECT_TRUE(LineConnection::total_buffered_bytes() < (64 << 10));
        return ::send(prober.fd.get(), "PING\r\n", 6, MSG_NOSIGNAL) < 0 && errno != EAGAIN;
    }));
}

TEST(LineForwarding, AnswersPingsAndWaitsForTheRestOfALine) {
    BalancerFixture fixture;
    Peer client = connect_peer(fixture.config.listen);
    client.write("PI");
    fixture.run_for(seconds(0.02));
    client.write("NG\r\nSTATS\r\nPING\r\n");
    EXPECT_TRUE(fixture.receives(client, "PONG\r\nNO\r\nPONG\r\n"));
    client.write(std::string(max_line_length + 10, 'z'));
    EXPECT_TRUE(fixture.receives(client, "ERR\r\n"));
    EXPECT_TRUE(fixture.sees_close(client));
    EXPECT_EQ(fixture.count(Counter::malformed_client_lines), 1u);
}

TEST(LineForwarding, ForwardsLinesThatArriveInPieces) {
    BalancerFixture fixture;
    const auto write_in_pieces = [&](const Peer& peer, const std::vector<std::string_view>& pieces,
                                     Duration pause) {
        for (const std::string_view piece : pieces) {
            peer.write(piece);
            fixture.run_for(pause);
        }
    };
    Peer client = connect_peer(fixture.config.listen);
    for (const char byte : fixture.make_request_line("c=chat,d=900"))
        write_in_pieces(client, {{&byte, 1}}, millis(1));
    Peer server = fixture.accept_attempt();
    for (const char byte : std::string("UP r\r\n")) write_in_pieces(server, {{&byte, 1}}, millis(1));
    EXPECT_TRUE(fixture.receives(client, "UP r\r\n"));
    write_in_pieces(client, {"one\r", "\ntwo\r\nthree\r\nfo", "ur\r\n"}, millis(20));
    EXPECT_TRUE(fixture.receives(server, "one\r\ntwo\r\nthree\r\nfour\r\n"));
    write_in_pieces(server, {"a\r\nLOAD 7\r", "\nb\r\nMO", "VE\r", "\n"}, millis(20));
    server.send_fin();
    EXPECT_TRUE(fixture.receives(client, "a\r\nLOAD 7\r\nb\r\nMOVE\r\n"));
    EXPECT_TRUE(fixture.sees_close(client));
    EXPECT_EQ(fixture.count(Counter::load_reports), 1u);
}
