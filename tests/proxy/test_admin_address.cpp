/// Tests of the admin address through a complete balancer.
#include "proxy/balancer_fixture.h"

TEST(AdminAddress, AnswersCommandsWhileOtherConnectionsAreSilent) {
    BalancerFixture fixture({.admin_address = unused_address()});
    // NOLINTNEXTLINE(clang-analyzer-deadcode.DeadStores): kept open while the test runs.
    auto [client, server] = fixture.establish();
    std::vector<Peer> silent;
    for (int k = 0; k < 40; ++k) {
        silent.push_back(connect_peer(fixture.config.admin));
        if (k % 2) silent.back().write("STAT");
    }
    const int descriptors_before = FileDescriptor::open_count();
    Peer slow = connect_peer(fixture.config.admin);
    fixture.run_for(seconds(0.05));
    for (const char* piece : {"ME", "TRICS", "\r", "\n"}) {
        slow.write(piece);
        fixture.run_for(millis(10));
    }
    EXPECT_TRUE(fixture.receives(slow, "\r\nend\r\n"));
    EXPECT_TRUE(fixture.sees_close(slow));
    EXPECT_TRUE(slow.saw_fin);
    EXPECT_EQ(slow.received.find(
                  R"({"succeeded":{"chat":1},"declined":{"chat":0},"aborted":{"chat":0},"forwards":1,)"
                  R"("outstanding":1,"discovered":1,"ejected":0})"),
              0);
    Peer quick = connect_peer(fixture.config.admin);
    Peer wrong = connect_peer(fixture.config.admin);
    Peer too_long = connect_peer(fixture.config.admin);
    quick.write("STATUS\nSTATUS\n");
    wrong.write(std::string_view("\xff\0\r\n", 4));
    too_long.write(std::string(1 << 16, 'x'));
    EXPECT_TRUE(fixture.receives(quick, "done\r\n"));
    EXPECT_TRUE(fixture.sees_close(quick));
    EXPECT_TRUE(quick.saw_fin);
    EXPECT_EQ(quick.received, "done\r\n");
    EXPECT_TRUE(fixture.receives(wrong, "error "));
    EXPECT_TRUE(fixture.receives(too_long, "error "));
    EXPECT_TRUE(fixture.sees_close(too_long));
    EXPECT_TRUE(too_long.saw_fin);
    for (Peer& peer : silent) {
        EXPECT_TRUE(fixture.sees_close(peer));
        EXPECT_EQ(peer.received.find("done"), std::string::npos);
    }
    EXPECT_LT(FileDescriptor::open_count(), descriptors_before + 20);
    EXPECT_EQ(fixture.count(Counter::admin_connections_cut), 40u);
    fixture.balancer->begin_graceful_shutdown();
    Peer late = connect_peer(fixture.config.admin);
    late.write("STATUS\r\n");
    EXPECT_TRUE(fixture.receives(late, "error "));
}

TEST(AdminAddress, ReportsAnUnusableAdminAddressByItsValue) {
    for (const std::string address : {"nowhere", "127.0.0.1:99999", "192.0.2.1:1"}) {
        std::string message;
        try {
            BalancerFixture fixture({.admin_address = address});
        } catch (const ParseError& error) {
            message = error.what();
        }
        EXPECT_NE(message.find(address), std::string::npos);
    }
}
