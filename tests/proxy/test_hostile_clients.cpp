/// Tests with clients that send at full speed, write slowly, stop half way or leave with much unread, against
/// the real program: other clients must be served in time and memory must stay bounded.
#include "proxy/hostile_clients_fixture.h"

namespace {

/// How a client leaves its request unfinished.
enum class Unfinished { slow, half_a_line, many_fields, small_fields_one_by_one };

}  // namespace

// Guards against one client that takes the event loop for itself, or fills the memory, by what it sends at
// full speed.
TEST(HostileClients, OthersAreServedInTimeBesideFloods) {
    for (const auto& [flood, name] : {std::pair{Flood::pings, "PING"},
                                      {Flood::stats, "STATS"},
                                      {Flood::unknown_classes, "unknown classes"},
                                      {Flood::many_fields, "many fields"},
                                      {Flood::new_names, "new names"},
                                      {Flood::small_lines, "small lines"}}) {
        for (const int clients : {1, 6}) {
            SCOPED_TRACE(std::string(name) + ", clients: " + std::to_string(clients));
            HostileClientsFixture fixture;
            Duration longest;
            {
                std::vector<std::unique_ptr<FloodingClient>> flooding;
                for (int k = 0; k < clients; ++k)
                    flooding.push_back(std::make_unique<FloodingClient>(fixture.listen_address, flood));
                fixture.run_for(millis(200));
                longest = fixture.expect_requests_in_time(seconds(3));
            }
            fixture.report(std::to_string(clients) + " x " + name, longest);
            EXPECT_LE(peak_memory_mb(fixture.balancer.pid), memory_limit_mb);
            EXPECT_TRUE(fixture.is_serving(fixture.balancer));
        }
    }
}

// Guards against memory that grows with clients that write slowly, stop half way through a large request, or
// send very many short fields.
TEST(HostileClients, MemoryStaysBoundedBesideHundredsOfUnfinishedRequests) {
    constexpr int clients = 300;
    constexpr size_t almost_a_line = 4000;
    for (const auto& [kind, name] : {std::pair{Unfinished::slow, "slow writers"},
                                     {Unfinished::half_a_line, "half a large request"},
                                     {Unfinished::many_fields, "many short fields"},
                                     {Unfinished::small_fields_one_by_one, "short fields one by one"}}) {
        SCOPED_TRACE(name);
        HostileClientsFixture fixture;
        std::vector<Peer> peers;
        for (int k = 0; k < clients; ++k) {
            peers.push_back(connect_peer(fixture.listen_address));
            std::string begin = "OPEN " + next_id() + " 2b c=chat,d=900";
            if (kind == Unfinished::half_a_line) begin += ",x=" + std::string(almost_a_line, 'x');
            if (kind == Unfinished::many_fields)
                for (int n = 0; begin.size() < almost_a_line; ++n) begin += "," + std::to_string(n) + "=1";
            peers.back().write(begin);
        }
        const TimePoint end = Clock::now() + seconds(3);
        Duration longest;
        while (Clock::now() < end) {
            const bool goes_on = kind == Unfinished::slow || kind == Unfinished::small_fields_one_by_one;
            for (const Peer& peer : peers)
                if (goes_on) peer.write(kind == Unfinished::slow ? "x" : ",a=1,b=2,c=3");
            longest = std::max(longest, fixture.expect_requests_in_time(millis(100)));
        }
        size_t answered = 0;
        for (Peer& peer : peers) {
            peer.read();
            answered += peer.is_closed() || !peer.received.empty() ? 1 : 0;
        }
        EXPECT_EQ(answered, peers.size());  // within the three seconds that such a client is owed
        fixture.report(std::to_string(clients) + " x " + name, longest);
        EXPECT_LE(peak_memory_mb(fixture.balancer.pid), memory_limit_mb);
    }
}

// Guards against requests that are sent on although their client has closed its connection with much unread.
TEST(HostileClients, RequestsOfClientsThatLeftWithMuchUnreadAreNotSentOn) {
    HostileClientsFixture fixture;
    std::string pings;
    while (pings.size() < flood_bytes) pings += "PING\r\n";
    std::vector<std::string> ids;
    for (int k = 0; k < 50; ++k) {
        ids.push_back(next_id());
        Peer client = connect_peer(fixture.listen_address);
        const std::string line = "OPEN " + ids.back() + " 2b c=chat,d=900\r\n";
        client.write(k % 2 == 0 ? pings + line : line + pings);
        if (k % 3 == 0)
            client.send_reset();
        else
            client.fd.close();
    }
    fixture.run_for(seconds(1));
    int runs = 0;
    for (const std::string& id : ids) runs += fixture.server->runs(id);
    EXPECT_EQ(runs, 0);
    EXPECT_TRUE(fixture.time_to_establish().has_value());
    std::cout << "requests of departed clients at the server: " << runs << " of " << ids.size() << '\n';
}

// Guards against a second run of a request that comes again after its client has left, at the same process or
// at the one that has taken over.
TEST(HostileClients, IdThatComesAgainAfterItsClientLeftRunsOnce) {
    HostileClientsFixture fixture("side_effect");
    const auto send = [&](const std::string& id) {
        Peer client = connect_peer(fixture.listen_address);
        client.write("OPEN " + id + " 2b c=chat,d=900\r\n");
        fixture.run_for(millis(100));
        client.read();
        return client.received;
    };
    const std::string left = next_id();
    const std::string also_left = next_id();
    EXPECT_EQ(send(left), "UP r\r\n");
    EXPECT_EQ(send(also_left), "UP r\r\n");
    EXPECT_EQ(send(left), "ERR\r\n");
    const auto next = fixture.start();
    EXPECT_EQ(send(left), "ERR\r\n");
    EXPECT_EQ(send(also_left), "ERR\r\n");
    EXPECT_EQ(fixture.server->runs(left), 1);
    EXPECT_EQ(fixture.server->runs(also_left), 1);
    EXPECT_TRUE(fixture.is_serving(next));
}
