#include <map>

#include "lab_testbed/fake_clients.h"

using namespace headrouter::testbed;
using namespace headrouter::scenario;

// Records the events that a server reports to the checker.
struct Seen : SeenByServers {
    std::map<uint64_t, std::string> happened;
    int garbled_lines = 0;
    double load = 1000;
    Opened first_line(uint64_t request, std::string_view line) override {
        return {request != 0 && line.find("strange") == std::string_view::npos, 0, 0, load, ""};
    }
    void attempt_began(uint64_t request, int, int) override { happened[request] += "began "; }
    void attempt_ran(uint64_t request, int) override { happened[request] += "ran "; }
    void attempt_rejected(uint64_t request, int) override { happened[request] += "away "; }
    void attempt_ended(uint64_t request, int, bool by_server) override {
        happened[request] += by_server ? "ended" : "left";
    }
    void garbled(int, std::string_view) override { ++garbled_lines; }
};

struct One : Loop {
    Scenario w = small_world(1);
    AddressBlock block{1};
    TimerQueue timers{loop};
    Seen seen;
    SimulatedServer machine;
    std::string at = block.host(0) + ":8080";
    testbed::FakeServer server;
    int requests = 0;
    explicit One(Scenario world = small_world(1))
        : w(std::move(world)), machine(w.kinds[0], w, 1), server(timers, 0, at, machine, w, seen) {}
    Peer opened(int wait = 2000) {
        Peer p(at);
        char id[20];
        std::snprintf(id, sizeof id, "%016x", ++requests);
        p.write("OPEN " + std::string(id) + " k c=chat,t=t0,d=" + std::to_string(wait) + "\r\n");
        return p;
    }
    Peer up() {
        Peer p = opened();
        EXPECT_TRUE(until([&] { return p.has("UP "); }));
        return p;
    }
};

TEST(FakeServer, EstablishedRequestGetsItsLoadAndAnswersToMessages) {
    One o;
    Peer p = o.up();
    EXPECT_TRUE(o.until([&] { return p.has("LOAD 1000\r\n"); }));
    p.write("SAY 1\r\n");
    EXPECT_TRUE(o.until([&] { return p.has("RE SAY 1\r\n"); }));
    p.fd.close();
    EXPECT_TRUE(o.until([&] { return o.seen.happened[1] == "began ran left"; }));
    EXPECT_EQ(o.machine.connections(), 0);
}

TEST(FakeServer, AnswersSyntaxToLineThatNoClientSent) {
    One o;
    Peer p(o.at);
    p.write("OPEN 000000000000000f strange c=chat,d=1\r\n");
    EXPECT_TRUE(o.until([&] { return p.has("SYNTAX\r\n") && p.over(); }));
    EXPECT_EQ(o.seen.garbled_lines, 1);
}

TEST(FakeServer, AnswersBusyWhenFullAndErrOnError) {
    Scenario w = small_world(1);
    w.kinds[0].most_connections = 1;
    One o(w);
    Peer first = o.up(), second = o.opened();
    EXPECT_TRUE(o.until([&] { return second.has("BUSY\r\n") && second.over(); }));
    EXPECT_EQ(o.seen.happened[2], "began ran away ended");
    first.fd.close();
    EXPECT_TRUE(o.until([&] { return o.machine.connections() == 0; }));
    o.machine.set_errors(1);
    Peer third = o.opened();
    EXPECT_TRUE(o.until([&] { return third.has("ERR\r\n") && third.over(); }));
    EXPECT_EQ(o.seen.happened[3], "began ran ended");
}

TEST(FakeServer, DeadServerResetsAndRefusesConnectionsThenStartsCold) {
    Scenario w = small_world(1);
    w.kinds[0].cold_from = 0.5;
    w.kinds[0].slow_start_time = seconds(60);
    One o(w);
    Peer p = o.up();
    o.server.die();
    EXPECT_TRUE(o.until([&] { return p.over(); }));
    EXPECT_TRUE(p.broke);
    EXPECT_EQ(o.seen.happened[1], "began ran ended");
    Peer refused(o.at);
    EXPECT_TRUE(o.until([&] { return pending_error(refused.fd.get()) == ECONNREFUSED || !refused.fd; }));
    o.server.start_cold();
    Peer is_reconnect = o.up();
    EXPECT_LT(o.machine.capacity(o.timers.now()), 600'000);
}

TEST(FakeServer, HangingServerSendsNothingUntilItResumes) {
    One o;
    Peer standing = o.up();
    o.server.hang();
    standing.write("SAY 1\r\n");
    Peer asking = o.opened(8000), leaving = o.opened(8000);
    EXPECT_TRUE(o.until([&] { return o.server.connections() == 3 && !o.seen.happened[3].empty(); }));
    leaving.fd.close();  // the server notices the close although it hangs
    EXPECT_TRUE(o.until([&] { return o.seen.happened[3] == "began ran left"; }));
    EXPECT_FALSE(standing.has("RE "));
    EXPECT_FALSE(asking.has("UP"));
    o.server.answer_again();
    EXPECT_TRUE(o.until([&] { return standing.has("RE SAY 1\r\n") && asking.has("UP "); }));
}

TEST(FakeServer, VanishedServerEstablishesNoConnectionUntilItIsBack) {
    One o;
    Peer standing = o.up();
    o.server.vanish();
    standing.write("SAY 1\r\n");
    Peer late(o.at);
    o.turn(millis(150));
    char byte = 0;
    EXPECT_LT(recv(late.fd.get(), &byte, 1, MSG_DONTWAIT), 0);
    EXPECT_EQ(errno, EAGAIN);
    socklen_t size = sizeof(sockaddr_storage);
    sockaddr_storage there{};
    EXPECT_NE(getpeername(late.fd.get(), reinterpret_cast<sockaddr*>(&there), &size),
              0);  // connection not established yet
    EXPECT_FALSE(standing.over());
    o.server.start_cold();
    EXPECT_TRUE(o.until([&] { return standing.over(); }));
    EXPECT_TRUE(standing.broke);
    o.up();
}

TEST(FakeServer, DrainingServerRejectsRequestsAndMovesConnectionsInParts) {
    One o;
    std::vector<Peer> standing;
    for (int k = 0; k < 4; ++k) standing.push_back(o.up());
    o.server.drain();
    Peer late = o.opened();
    EXPECT_TRUE(o.until([&] { return late.has("BUSY\r\n"); }));
    o.server.move_part(0.5);
    const auto moved = [&] {
        return std::count_if(standing.begin(), standing.end(),
                             [](Peer& p) { return p.has("MOVE\r\n") && p.over(); });
    };
    EXPECT_TRUE(o.until([&] { return moved() == 2; }));
    o.server.move_part(1);
    EXPECT_TRUE(o.until([&] { return moved() == 4; }));
    EXPECT_EQ(o.server.connections(), 0);
}

TEST(FakeServer, SlowServerAnswersLateAndReportsItsDelay) {
    One o;
    o.seen.load = 900'000;
    Peer p = o.up();
    o.machine.set_speed(o.timers.now(), 0.3);
    o.machine.work_left(o.timers.now());
    EXPECT_TRUE(o.until([&] { return o.machine.delay(o.timers.now()) > millis(300); }));
    const TimePoint asked = o.timers.now();
    p.write("SAY 1\r\n");
    EXPECT_TRUE(o.until([&] { return o.server.look(), p.has("RE SAY 1\r\n"); }));
    EXPECT_GT(o.timers.now() - asked, millis(250));
    const auto reported_twice = [&] {
        return o.server.look(), p.read(), p.got.find("LOAD ") != p.got.rfind("LOAD ");
    };
    EXPECT_TRUE(o.until(reported_twice));
    const size_t told = p.got.rfind("LOAD ");
    EXPECT_GE(std::atoi(p.got.c_str() + told + 5), 300);
    EXPECT_LT(std::atoi(p.got.c_str() + told + 5), 20'000);
}

TEST(FakeServer, OverloadedColdServerDiesAndStaysDown) {
    Scenario w = small_world(1);
    w.overload_window = millis(300);
    w.kinds[0].cold_from = 0.1;
    w.kinds[0].slow_start_time = seconds(60);
    One o(w);
    o.server.start_cold();
    o.seen.load = 900'000;
    Peer p = o.up();
    EXPECT_TRUE(o.until([&] { return o.server.look(), p.over(); }));
    EXPECT_TRUE(o.machine.fell());
    o.server.start_cold();
    Peer refused(o.at);
    EXPECT_TRUE(o.until([&] { return !refused.fd || pending_error(refused.fd.get()) == ECONNREFUSED; }));
}

TEST(FakeServer, ParsesFieldsAndIdsStrictly) {
    EXPECT_EQ(field_of("OPEN 1 k c=a,d=250,t=x\r\n", "d"), 250);
    EXPECT_EQ(field_of("OPEN 1 dd=3,c=d", "d"), -1);
    EXPECT_EQ(request_of("OPEN 00000000000000ff k d=1\r\n"), 255);
    EXPECT_EQ(request_of("OPEN 0000000000000zff k\r\n"), 0);
    EXPECT_EQ(request_of("SHUT 00000000000000ff"), 0);
    EXPECT_EQ(request_of("OPEN"), 0);
}

TEST(FakeServer, AddressBlocksDoNotOverlap) {
    AddressBlock a(300), b(10);
    EXPECT_NE(a.host(0), b.host(0));
    EXPECT_NE(a.host(0), a.host(299));
    const Fd first = listen_on(*Address::from(a.host(299) + ":9"));
    const Fd second = listen_on(*Address::from(b.host(0) + ":9"));
    EXPECT_TRUE(first);
    EXPECT_TRUE(second);
}
