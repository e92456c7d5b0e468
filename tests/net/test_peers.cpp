// What balancers tell one another, over datagrams on loopback; and the configurations that mix two shapes.
#include <sys/socket.h>

#include <iostream>  // its streams must be there before the cases run
#include <sstream>

#include "helpers.h"
#include "net/balancer.h"
#include "peers/peer_bytes.h"
#include "peers_by_hand.h"

namespace {

// A balancer that is the test's own: it hears what the others tell, and says what it likes.
struct Datagrams {
    Fd fd{::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)};
    std::string at;
    Datagrams() {
        const Address a = *Address::from("127.0.0.1:0");
        assert(bind(fd.get(), reinterpret_cast<const sockaddr*>(&a.bytes), a.size) == 0);
        at = port_of(fd.get());
    }
    void say(const std::string& to, const std::string& bytes) {
        const Address a = *Address::from(to);
        sendto(fd.get(), bytes.data(), bytes.size(), 0, reinterpret_cast<const sockaddr*>(&a.bytes), a.size);
    }
    std::string hear() {
        char bytes[2048];
        const ssize_t n = recv(fd.get(), bytes, sizeof bytes, 0);
        return n > 0 ? std::string(bytes, size_t(n)) : std::string();
    }
};

std::string free_port() { return Datagrams{}.at; }

std::string config(const std::string& peers, const std::string& settings,
                   const std::string& listen = "1.2.3.4:5", const std::string& discovery = "1.2.3.4:6",
                   const std::string& server = "1.2.3.4:7") {
    return R"({"name":"n","listen":")" + listen + R"(","discovery":")" + discovery +
           R"(","seed":"8c1f30d27a5be964","limits":{"sockets":1024,"memory_mb":64},)" + peers +
           R"("known":{"generation":1,"reset":true,"instances":[{"instanceId":"s","hostPort":")" + server +
           R"(","zone":"a","lifecycle":"SERVING","weight":1,"startedAtMs":0}]},"settings":{)" + settings +
           R"("discovery":"push","failureDomains":["a"],"realms":[],"domain":{"groups":true},"trafficTypes":[{
           "name":"chat","effect":"pure","setupTargetNs":800000000,"guardTimeNs":1000000000}]}})";
}

std::string settings(const std::string& peers_allowed, const std::string& numbers,
                     const std::string& cold = R"("coldNs":0)") {
    return R"("ceilings":{"maxLegs":2,"dialTimeoutNs":150000000)" + peers_allowed + R"(},"invariants":{)" +
           cold + "}," + numbers;
}

std::string fault_of(const std::string& peers, const std::string& told) {
    const Clock clock;
    try {
        read_boot(config(peers, told), clock);
    } catch (const Malformed& fault) {
        return fault.what();
    }
    return "";
}

bool names(const std::string& fault, const char* key) { return fault.find(key) != std::string::npos; }

// Two balancers and a third that the test plays, one server and a list for each.
struct Three : Loop {
    Datagrams third;
    std::string at[2] = {free_port(), free_port()}, listen[2];
    Listener server, agent;
    std::ostringstream said;
    Log log{said, Level::debug};
    Clock clock;
    std::unique_ptr<Balancer> balancers[2];
    uint64_t last_id = 1'000'000'000'000'000;

    Three() {
        const std::string all = R"("all":[")" + at[0] + R"(",")" + at[1] + R"(",")" + third.at + R"("]},)";
        for (int k = 0; k < 2; ++k) {
            listen[k] = free_place();
            const Boot boot = read_boot(
                config(R"("peers":{"own":")" + at[k] + R"(",)" + all,
                       settings(R"(,"peers":true)", R"("groupSize":3,"slotNo":)" + std::to_string(k) + ","),
                       listen[k], agent.at, server.at),
                clock);
            balancers[k] = std::make_unique<Balancer>(loop, boot, clock, log);
            balancers[k]->start();
        }
    }
    ~Three() {
        for (auto& b : balancers) b.reset();
    }
    uint64_t count(int k, Count c) { return balancers[k]->counters()[c]; }
    // A client is served: its line reaches the server, whose UP comes back.
    std::pair<Peer, Peer> served(int k) {
        Peer c = dial(listen[k]), s;
        c.write("OPEN " + std::to_string(++last_id) + " 2b c=chat,d=900,g=q\r\n");
        assert(until([&] { return s = server.accept(), bool(s.fd); }));
        assert(until([&] { return s.read(), s.got.find("\r\n") != std::string::npos; }));
        s.write("UP r\r\n");
        assert(until([&] { return c.read(), c.got == "UP r\r\n"; }));
        return {std::move(c), std::move(s)};
    }
};

}  // namespace

// The one whose turn it is hears the others' counts; then it is another's turn, who tells the sum.
static const Case ones_counts_reach_the_others{[] {
    Three w;
    const auto first = w.served(0), second = w.served(1), third = w.served(1);
    bool counted = false, summed = false;
    const Instant end = Clock::now() + seconds(17);
    while (!(counted && summed) && Clock::now() < end) {
        w.turn(0.02);
        for (std::string bytes; !(bytes = w.third.hear()).empty();) {
            peers::Reader told;
            assert(told.read(bytes));
            if (told.kind == peers::Kind::counts)
                counted = counted || (told.total >= 1 && told.counted.size() == 1 &&
                                      told.counted[0].server == peers::ShortNames::of("s"));
            if (told.kind == peers::Kind::sum && told.tellers == 2) summed = summed || told.total >= 2;
        }
    }
    assert(counted && summed);
    assert(w.count(0, Count::peers_told) > 0 && w.count(0, Count::peers_heard) > 0);
    assert(w.count(0, Count::peers_garbled) == 0 && w.count(1, Count::peers_foreign) == 0);
}};

static const Case spoilt_long_and_foreign_datagrams_are_dropped_and_counted{[] {
    Three w;
    Datagrams foreign;
    const auto before = w.served(0);
    for (const std::string& odd : {std::string("1c"), std::string("9h00000"), std::string("1h0000"),
                                   std::string("\0\0\0", 3), std::string(256, '1')})
        w.third.say(w.at[0], odd);
    w.third.say(w.at[0], std::string(257, '1'));
    w.third.say(w.at[0], std::string(1400, '1'));
    assert(w.until([&] { return w.count(0, Count::peers_garbled) == 7; }));
    for (int k = 0; k < 5; ++k) foreign.say(w.at[0], "1h00000");
    assert(w.until([&] { return w.count(0, Count::peers_foreign) == 5; }));
    w.third.say(w.at[0], peers::pack_held({{1, 2}}));
    assert(w.until([&] { return w.count(0, Count::peers_heard) >= 1; }));
    const auto after = w.served(0);
}};

// A flood from a named address: bounded, and clients are served within it.
static const Case a_flood_of_datagrams_is_bounded{[] {
    Three w;
    for (int k = 0; k < 400; ++k) {
        w.third.say(w.at[1], peers::pack_held({{static_cast<uint32_t>(k), 2}}));
        if (k % 50 == 49) w.turn(0.005);
    }
    assert(w.until([&] { return w.count(1, Count::peers_foreign) > 0; }));
    assert(w.count(1, Count::peers_heard) <= 3 * 20 + 20);
    const auto client = w.served(1);
}};

static const Case without_any_datagram_clients_are_served{[] {
    Three w;
    w.third.fd.close();
    w.balancers[1].reset();
    const auto client = w.served(0);
    w.turn(0.3);
    const auto another = w.served(0);
}};

static const Case a_mixture_of_shapes_is_refused_by_its_key{[] {
    const std::string one = R"("groupSize":2,"slotNo":1,)", yes = R"(,"peers":true)", no;
    const std::string two = R"("peers":{"own":"127.0.0.1:2","all":["127.0.0.1:1","127.0.0.1:2"]},)";
    assert(fault_of("", settings(no, "")).empty() && fault_of("", settings(no, one)).empty());
    assert(fault_of(two, settings(yes, one)).empty());
    assert(names(fault_of("", settings(yes, one)), "'peers' is missing"));
    assert(names(fault_of(two, settings(no, one)), "'ceilings.peers'"));
    assert(names(fault_of(two, settings(yes, R"("groupSize":3,"slotNo":1,)")), "'peers.all' has 2"));
    assert(names(fault_of(two, settings(yes, R"("groupSize":2,"slotNo":2,)")), "'slotNo'"));
    assert(names(fault_of(two, settings(yes, R"("groupSize":2,"slotNo":0,)")), "'peers.own'"));
    assert(names(fault_of(two, settings(yes, R"("groupSize":0,"slotNo":0,)")), "'groupSize'"));
    assert(names(fault_of(two, settings(yes, R"("slotNo":0,)")), "'groupSize'"));
    assert(names(fault_of(R"("peers":{"own":"127.0.0.1:2","all":["127.0.0.1:1","x"]},)", settings(yes, one)),
                 "'peers.all'"));
    assert(names(
        fault_of(R"("peers":{"own":"127.0.0.1:2","all":["127.0.0.1:2","127.0.0.1:2"]},)", settings(yes, one)),
        "twice"));
    assert(names(fault_of(R"("peers":{"all":[]},)", settings(yes, one)), "'own'"));
    assert(names(fault_of(R"("peers":7,)", settings(yes, one)), "'peers'"));
}};

static const Case the_cold_rule_is_told_whole_or_not_at_all{[] {
    const auto with = [](const std::string& cold) { return fault_of("", settings("", "", cold)); };
    const std::string whole = R"("coldNs":0,"fallMultiple":2.5,"fallNs":3000000000,"coldShare":0.3)";
    assert(with(whole).empty() && with(R"("coldNs":0)").empty());
    assert(names(with(R"("coldNs":0,"fallNs":3000000000,"coldShare":0.3)"), "'fallMultiple'"));
    assert(names(with(R"("coldNs":0,"fallMultiple":2.5,"coldShare":0.3)"), "'fallNs'"));
    assert(names(with(R"("coldNs":0,"fallMultiple":2.5,"fallNs":3000000000)"), "'coldShare'"));
    for (const char* odd : {"0", "-3", "1e300", "\"3\""})
        assert(names(with(R"("coldNs":0,"fallNs":1,"coldShare":0.3,"fallMultiple":)" + std::string(odd)),
                     "'fallMultiple'"));
    for (const char* odd : {"0", "-0.3", "1.1"})
        assert(names(with(R"("coldNs":0,"fallNs":1,"fallMultiple":3,"coldShare":)" + std::string(odd)),
                     "'coldShare'"));
    assert(names(with(R"("coldNs":0,"fallNs":0,"fallMultiple":3,"coldShare":0.3)"), "'fallNs'"));
}};

// What a configuration of before says is taken as before: nobody is told, and the cold budget is as it was.
static const Case an_old_configuration_keeps_its_meaning{[] {
    const Clock clock;
    const Boot boot = read_boot(config("", settings("", "")), clock);
    assert(!boot.told.deployment.tells_peers && boot.told.deployment.balancers == 1 && boot.peers.empty());
    assert(boot.told.deployment.fall_multiple == 3);
}};
