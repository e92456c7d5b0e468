// Tests the datagram relay with real sockets: which datagrams arrive, and from which address.
#include "lab_testbed/fake_clients.h"
#include "testbed/datagram_relay.h"

using namespace headrouter::testbed;
using namespace headrouter::scenario;

struct Net {
    static constexpr int n = 3;
    Loop loop;
    TimerQueue timers{loop.loop};
    AddressBlock block{n + 1};
    std::vector<DatagramRelay::Place> places;
    std::vector<Fd> ends;
    std::unique_ptr<DatagramRelay> net;
    explicit Net(const std::vector<FaultInjection>& injections = {}) {
        for (int k = 0; k < n; ++k) {
            places.push_back({block.host(k) + ":9090", block.host(k) + ":9091"});
            ends.push_back(bound_socket(places.back().own));
        }
        net = std::make_unique<DatagramRelay>(timers, places, injections, 1);
        timers.begin();
    }
    static Fd bound_socket(const std::string& at) {
        const Address a = *Address::from(at);
        Fd fd(::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK, 0));
        EXPECT_EQ(bind(fd.get(), reinterpret_cast<const sockaddr*>(&a.bytes), a.size), 0);
        return fd;
    }
    void send(const Fd& from, int to, const std::string& text) {
        const Address a = *Address::from(places[static_cast<size_t>(to)].relay);
        EXPECT_TRUE(sendto(from.get(), text.data(), text.size(), 0,
                           reinterpret_cast<const sockaddr*>(&a.bytes),
                           a.size) == static_cast<ssize_t>(text.size()));
    }
    // Returns the datagrams received, each with its sender's number by the relay's address.
    std::vector<std::pair<int, std::string>> received(int k) {
        loop.turn(millis(30));
        std::vector<std::pair<int, std::string>> all;
        for (char bytes[512];;) {
            sockaddr_in from{};
            socklen_t size = sizeof from;
            const ssize_t got = recvfrom(ends[static_cast<size_t>(k)].get(), bytes, sizeof bytes, 0,
                                         reinterpret_cast<sockaddr*>(&from), &size);
            if (got < 0) return all;
            int sender = -1;
            for (int other = 0; other < n; ++other) {
                const Address a = *Address::from(places[static_cast<size_t>(other)].relay);
                const auto& in = reinterpret_cast<const sockaddr_in&>(a.bytes);
                if (in.sin_addr.s_addr == from.sin_addr.s_addr && in.sin_port == from.sin_port)
                    sender = other;
            }
            all.emplace_back(sender, std::string(bytes, static_cast<size_t>(got)));
        }
    }
};

static FaultInjection until_healed(FaultKind kind, Way way = Way::both) {
    FaultInjection s;
    s.fault.kind = kind;
    s.fault.way = way;
    s.balancers = {1};
    s.until = TimePoint{} + seconds(0.5);
    return s;
}

TEST(DatagramRelay, DeliversDatagramFromRelayAddressOfItsSender) {
    Net n;
    n.send(n.ends[0], 1, "from nought");
    n.send(n.ends[2], 1, "from two");
    const auto got = n.received(1);
    EXPECT_EQ(got.size(), 2u);
    EXPECT_EQ(got[0], std::pair(0, std::string("from nought")));
    EXPECT_EQ(got[1], std::pair(2, std::string("from two")));
    EXPECT_TRUE(n.received(0).empty());
    EXPECT_EQ(n.net->counts().sent, 2);
    EXPECT_EQ(n.net->counts().bytes, 19);
}

TEST(DatagramRelay, DropsDatagramsUntilLinkHeals) {
    Net n({until_healed(FaultKind::drop)});
    n.send(n.ends[0], 1, "lost");
    EXPECT_TRUE(n.received(1).empty());
    n.loop.turn(millis(500));
    n.send(n.ends[0], 1, "heard");
    EXPECT_EQ(n.received(1).size(), 1u);
    EXPECT_EQ(n.net->counts().sent, 2);
    EXPECT_EQ(n.net->counts().arrived, 1);
}

TEST(DatagramRelay, DropsOnlyInboundDatagramsWhenFaultIsInbound) {
    Net n({until_healed(FaultKind::drop, Way::in)});
    n.send(n.ends[0], 1, "not heard");
    n.send(n.ends[1], 0, "heard");
    EXPECT_TRUE(n.received(1).empty());
    EXPECT_EQ(n.received(0).size(), 1u);
}

TEST(DatagramRelay, LaterDatagramOvertakesDelayedOne) {
    FaultInjection s = until_healed(FaultKind::delay);
    s.fault.span = millis(100);
    s.until = TimePoint{} + millis(40);
    Net n({s});
    n.send(n.ends[0], 1, "first");
    n.loop.turn(millis(60));
    n.send(n.ends[0], 1, "second");
    n.loop.turn(millis(80));
    const auto got = n.received(1);
    EXPECT_EQ(got.size(), 2u);
    EXPECT_EQ(got[0].second, "second");
    EXPECT_EQ(got[1].second, "first");
}

TEST(DatagramRelay, DoesNotForwardDatagramFromUnknownSender) {
    Net n;
    const Fd stranger = Net::bound_socket(n.block.host(3) + ":9090");
    n.send(stranger, 1, "who am I");
    EXPECT_TRUE(n.received(1).empty());
    EXPECT_EQ(n.net->counts().foreign, 1);
}
