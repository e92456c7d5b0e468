/// Tests with clients that use up the descriptors: which are evicted, rejected and still served.
#include <sys/resource.h>

#include <algorithm>
#include <vector>

#include "proxy/balancer_fixture.h"

// Guards against silent clients that occupy the descriptors that other clients need.
TEST(ClientLimits, SilentClientsAreAnsweredAndTheirDescriptorsFreed) {
    BalancerFixture fixture({.max_descriptors = FileDescriptor::open_count() + 240});
    std::vector<Peer> silent;
    for (int k = 0; k < 180; ++k) {
        silent.push_back(connect_peer(fixture.config.listen));
        if (k % 2) silent.back().write("OPEN 0123456789abcd");
    }
    Peer client = fixture.connect_client();
    Peer server = fixture.accept_attempt();
    server.write("UP r\r\n");
    EXPECT_TRUE(fixture.receives(client, "UP r\r\n"));
    const TimePoint begun = Clock::now();
    fixture.run_for(seconds(1.7));
    for (size_t k = 0; k < silent.size(); k += 2) EXPECT_TRUE(fixture.sees_close(silent[k]));
    EXPECT_LT(Clock::now() - begun, seconds(2));
    fixture.run_for(seconds(1.6));  // until the clients that sent a part of a line are answered, too
    for (Peer& peer : silent) {
        EXPECT_TRUE(fixture.sees_close(peer));
        EXPECT_TRUE(peer.saw_fin);
        EXPECT_TRUE(peer.received == "ERR\r\n" || peer.received == "BUSY\r\n") << peer.received;
    }
    EXPECT_LT(Clock::now() - begun, seconds(4));
    EXPECT_EQ(fixture.count(Counter::requests_rejected), 0u);
    EXPECT_GT(fixture.count(Counter::clients_silent), 0u);
    EXPECT_GT(fixture.count(Counter::clients_cut), 0u);
}

TEST(ClientLimits, IdleClientsAfterAProbeAreEvicted) {
    BalancerFixture fixture({.max_descriptors = FileDescriptor::open_count() + 400});
    std::vector<Peer> probers;
    for (int k = 0; k < 200; ++k) {
        probers.push_back(connect_peer(fixture.config.listen));
        probers.back().write("PING\r\n");
        if (k % 10 == 0) fixture.run_for(seconds(0.03));
    }
    int left = 0;
    for (Peer& peer : probers) {
        EXPECT_TRUE(fixture.receives(peer, "PONG\r\n"));
        if (!peer.saw_fin) ++left;
    }
    EXPECT_LT(left, 120);
    EXPECT_GT(fixture.count(Counter::clients_cut), 0u);
}

TEST(ClientLimits, RequestsBeyondTheDescriptorLimitAreAnsweredBusy) {
    BalancerFixture fixture({.max_descriptors = FileDescriptor::open_count() + 60});
    std::vector<Peer> idle;
    for (int k = 0; k < 70; ++k) idle.push_back(fixture.connect_client());
    fixture.run_for(seconds(0.2));
    int busy = 0;
    for (Peer& peer : idle) {
        peer.read();
        if (peer.received == "BUSY\r\n" && peer.saw_fin) ++busy;
    }
    EXPECT_GT(busy, 30);
    EXPECT_GT(fixture.count(Counter::refused_for_descriptors), 30u);
    EXPECT_GT(FileDescriptor::open_count(), 0);
}

TEST(ClientLimits, AcceptsAgainAfterADescriptorShortage) {
    BalancerFixture fixture;
    Peer first = connect_peer(fixture.config.listen);
    Peer second = connect_peer(fixture.config.listen);
    rlimit limit{};
    getrlimit(RLIMIT_NOFILE, &limit);
    rlimit none = limit;
    none.rlim_cur = 1;
    setrlimit(RLIMIT_NOFILE, &none);
    fixture.run_for(seconds(0.05));
    setrlimit(RLIMIT_NOFILE, &limit);
    EXPECT_GT(fixture.count(Counter::accepts_failed), 0u);
    Peer client = connect_peer(fixture.config.listen);
    client.write("PING\r\n");
    EXPECT_TRUE(fixture.receives(client, "PONG\r\n"));
}

// Guards against evicting a client that writes its request slowly while many others never finish theirs.
TEST(ClientLimits, SlowWriterIsServedDespiteManyUnfinishedRequests) {
    BalancerFixture fixture({.max_descriptors = FileDescriptor::open_count() + 240});
    Peer slow = connect_peer(fixture.config.listen);
    const std::string line = fixture.make_request_line("c=chat,d=900");
    std::vector<Peer> unfinished;
    size_t most_open = 0;
    for (size_t k = 0; k < line.size(); ++k) {
        slow.write(line.substr(k, 1));
        for (int more = 0; more < 4; ++more) {
            unfinished.push_back(connect_peer(fixture.config.listen));
            if (more == 0) unfinished.back().write("OPEN 01");
        }
        fixture.run_for(seconds(2.0 / static_cast<double>(line.size())));
        std::erase_if(unfinished, [](Peer& peer) {
            peer.read();
            return peer.is_closed();
        });
        most_open = std::max(most_open, unfinished.size());
    }
    Peer server = fixture.accept_attempt();
    server.write("UP r\r\n");
    EXPECT_TRUE(fixture.receives(slow, "UP r\r\n"));
    EXPECT_GT(fixture.count(Counter::clients_cut), 20u);
    EXPECT_LT(most_open, 120);
    Peer next = fixture.connect_client();
    Peer next_server = fixture.accept_attempt();
    next_server.write("UP q\r\n");
    EXPECT_TRUE(fixture.receives(next, "UP q\r\n"));
    EXPECT_EQ(fixture.count(Counter::requests_rejected), 0u);
}

TEST(ClientLimits, SilentClientsAreEvictedBeforeThoseWithAPartialLine) {
    BalancerFixture fixture({.max_descriptors = FileDescriptor::open_count() + 110});
    std::vector<Peer> partial;
    std::vector<Peer> silent;
    for (int k = 0; k < 10; ++k) {
        partial.push_back(connect_peer(fixture.config.listen));
        partial.back().write("OPEN 01");
        fixture.run_for(seconds(0.01));
    }
    for (int k = 0; k < 15; ++k) {
        silent.push_back(connect_peer(fixture.config.listen));
        fixture.run_for(seconds(0.01));
    }
    std::vector<EstablishedRequest> established;
    const auto count_open = [](std::vector<Peer>& peers) {
        return std::count_if(peers.begin(), peers.end(), [](Peer& peer) {
            peer.read();
            return !peer.is_closed();
        });
    };
    while (count_open(silent) > 0 && established.size() < 40) {
        established.push_back(fixture.establish());
        EXPECT_TRUE(count_open(partial) == 10 || count_open(silent) == 0);
    }
    EXPECT_EQ(fixture.count(Counter::clients_cut), 15u);
    EXPECT_EQ(fixture.count(Counter::requests_rejected), 0u);
}
