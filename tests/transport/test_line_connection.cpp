/// Tests of a line connection between two sockets on loopback.
#include <algorithm>
#include <vector>

#include "proxy/socket_peers.h"
#include "transport/line_connection.h"

namespace headrouter {
namespace {

/// Records the events of a connection in order.
struct RecordingOwner : LineConnection::Owner {
    std::vector<std::string> events;
    void on_bytes(LineConnection&, std::string_view bytes, bool) override { events.emplace_back(bytes); }
    void on_closed(LineConnection&, CloseReason) override { events.emplace_back("closed"); }
};

// The caller of send() goes on to use its request, which the report of a closed connection would destroy.
TEST(LineConnection, SendOnABrokenConnectionReportsItsEndInTheNextEvent) {
    EventLoopFixture fixture;
    const Listener listener;
    Peer peer = connect_peer(listener.address);
    Peer accepted = fixture.accept(listener);
    RecordingOwner owner;
    LineConnection connection(fixture.loop, std::move(accepted.fd), owner, 1);
    connection.start();
    peer.write("last line\r\n");
    peer.send_reset();
    for (int line = 0; line < 3; ++line) connection.send("a line\r\n");
    EXPECT_TRUE(owner.events.empty());
    EXPECT_TRUE(fixture.run_until([&] { return !owner.events.empty() && owner.events.back() == "closed"; }));
    EXPECT_EQ(std::count(owner.events.begin(), owner.events.end(), "closed"), 1);
}

// The same for an owner that does not read from its connection at the moment.
TEST(LineConnection, SendOnABrokenConnectionThatIsNotReadReportsItsEnd) {
    EventLoopFixture fixture;
    const Listener listener;
    Peer peer = connect_peer(listener.address);
    Peer accepted = fixture.accept(listener);
    RecordingOwner owner;
    LineConnection connection(fixture.loop, std::move(accepted.fd), owner, 1);
    connection.start();
    connection.pause_reading(true);
    peer.send_reset();
    connection.send("a line\r\n");
    EXPECT_TRUE(owner.events.empty());
    EXPECT_TRUE(fixture.run_until([&] { return owner.events == std::vector<std::string>{"closed"}; }));
}

}  // namespace
}  // namespace headrouter
