// A second process beside the running one, as operators start it: real processes, with the test as their
// clients, servers and discovery.
#include <sys/prctl.h>
#include <sys/stat.h>
#include <sys/un.h>
#include <sys/wait.h>

#include <csignal>
#include <cstdio>
#include <fstream>
#include <iostream>  // its streams must be there before the cases run

#include "app/command_line.h"
#include "hot_restart/state_version.h"
#include "proxy/fake_site.h"
#include "proxy/socket_peers.h"

TEST(HotRestart, ANewProcessTakesOverWhateverTheOldOneWasInTheMiddleOf) {
    Site w;
    const auto old = w.start();
    auto pair = w.standing();
    pair.first.write("half a ");
    Peer waits = w.client(), at = w.taken();  // its server has not answered yet
    Peer slow = dial(w.listen);
    slow.write("OPEN 0123456789");
    w.turn(0.05);
    const auto next = w.start();
    EXPECT_EQ(w.ask(old, "STATUS").substr(0, 5), "error");
    w.leaves(old.pid);  // right after the yes
    pair.first.write("line\r\n");
    EXPECT_TRUE(w.says(pair.second, "half a line\r\n"));
    at.write("UP q\r\n");
    EXPECT_TRUE(w.says(waits, "UP q\r\n"));
    slow.write("abcdef 2b c=chat,d=900\r\n");
    Peer slow_at = w.taken();
    slow_at.write("UP t\r\n");
    EXPECT_TRUE(w.says(slow, "UP t\r\n"));
    w.carries(pair, "more\r\n");
    // What stood is none of those that it brought up; an id that is open stays taken.
    EXPECT_EQ(w.ask(next, "METRICS").find(R"({"succeeded":{"chat":2},)"), 0);
    EXPECT_NE(w.ask(next, "METRICS").find(R"("forwards":1,"outstanding":3,)"), std::string::npos);
    Peer twice = dial(w.listen);
    twice.write("OPEN " + std::to_string(w.last_id) + " 2b c=chat,d=900\r\n");
    EXPECT_TRUE(w.says(twice, "ERR\r\n"));
    pair.second.write("BYE\r\n"), pair.second.fin();
    EXPECT_TRUE(w.says(pair.first, "BYE\r\n"));
    EXPECT_TRUE(w.until([&] { return pair.first.read(), pair.first.ended; }));
}

TEST(HotRestart, ThreeVersionsInARowAndAWordToLeaveThatNeverComes) {
    Site w;
    const auto first = w.start();
    auto pair = w.standing();
    const auto second = w.start(), third = w.start();
    w.carries(pair, "one\r\n");
    w.turn(0.3);
    w.carries(pair, "two\r\n");
    w.leaves(second.pid), w.leaves(first.pid);  // late, and not in turn
    w.carries(pair, "three\r\n");
    EXPECT_NE(w.ask(third, "METRICS").find(R"("outstanding":1,)"), std::string::npos);
}

TEST(HotRestart, TheOldProcessServesOnWhereTheNewOneDies) {
    Site w;
    const auto old = w.start();
    auto pair = w.standing();
    {
        Peer heir = w.caller(std::string(hot_restart::state_version.name));
        w.turn(0.02);
    }  // gone with all descriptors in its hands
    EXPECT_TRUE(w.until([&] { return w.ask(old, "STATUS") == "done\r\n"; }));
    w.carries(pair, "still here\r\n");
    { Peer stranger = w.caller("\xff\xfe"); }
    w.carries(pair, "and here\r\n");
    const auto next = w.start();
    w.carries(pair, "and there\r\n");
    kill(next.pid, SIGKILL);  // what it held is lost; whoever comes now is served by the old one again
    EXPECT_TRUE(w.until([&] { return pair.first.read(), pair.first.ended || pair.first.broke; }));
    EXPECT_TRUE(w.until([&] { return w.ask(old, "STATUS") == "done\r\n"; }));
    auto is_reconnect = w.standing();
    const auto last = w.start();
    w.leaves(old.pid);
    w.carries(is_reconnect, "on\r\n");
    EXPECT_EQ(w.ask(last, "STATUS"), "done\r\n");
}

TEST(HotRestart, AStateThatIsCutOrGarbledMeansACleanStart) {
    Site w;
    const auto old = w.start();
    auto pair = w.standing();
    std::string state;
    {
        Peer heir = w.caller(std::string(hot_restart::state_version.name));
        char bytes[65536];
        for (ssize_t n = 0; (n = recv(heir.fd.get(), bytes, sizeof bytes, 0)) > 0 && bytes[0] != 'w';)
            if (bytes[0] == 'p') state.append(bytes + 1, size_t(n) - 1);
    }
    EXPECT_GT(state.size(), 500u);
    w.carries(pair, "on\r\n");
    kill(old.pid, SIGKILL);
    waitpid(old.pid, nullptr, 0);
    std::string flipped = state, other = state;
    flipped[state.size() / 2] = char(flipped[state.size() / 2] ^ 1);
    other[8] = char(other[8] ^ 1);  // of the program's name
    for (const std::string& bad : {state.substr(0, 400), std::string(), flipped, other, state}) {
        const Fd door = w.door();
        const auto next = w.launch();
        Peer heir = w.heir_at(door);
        heir.write("p" + bad), heir.write("w");  // and no descriptor of any request
        EXPECT_TRUE(w.until([&] { return heir.read(), heir.ended || heir.broke; }));
        EXPECT_TRUE(w.until([&] { return w.ask(next, "STATUS") == "done\r\n"; }));
        kill(next.pid, SIGKILL);
        waitpid(next.pid, nullptr, 0);
    }
}

// Stopped, or stuck: it takes nobody in, and its queue of callers is full.
TEST(HotRestart, AnOldProcessThatHangsDoesNotHoldUpTheNewOne) {
    Site w;
    const auto old = w.start();
    kill(old.pid, SIGSTOP);
    std::vector<Peer> callers;
    for (int k = 0; k < 8; ++k) {
        callers.push_back({Fd(socket(AF_UNIX, SOCK_SEQPACKET | SOCK_CLOEXEC | SOCK_NONBLOCK, 0)), {}});
        sockaddr_un a{};
        a.sun_family = AF_UNIX;
        std::copy(w.meeting.begin(), w.meeting.end(), a.sun_path);
        (void)connect(callers.back().fd.get(), reinterpret_cast<const sockaddr*>(&a), sizeof a);
    }
    const auto next = w.start();
    EXPECT_EQ(w.ask(next, "STATUS"), "done\r\n");
    callers.clear();
    kill(next.pid, SIGKILL);
    waitpid(next.pid, nullptr, 0);
    const auto last = w.start();  // this one gets into the queue, and hears nothing
    EXPECT_EQ(w.ask(last, "STATUS"), "done\r\n");
}

TEST(HotRestart, AnotherProgramGetsTheListenerAndTheOldClientsAreMoved) {
    Site w;
    const auto old = w.start();
    auto pair = w.standing();
    Peer heir = w.caller("another");
    heir.write("t");
    EXPECT_TRUE(w.until([&] { return w.ask(old, "STATUS").substr(0, 5) == "error"; }));
    Peer queued = dial(w.listen);
    queued.write("PING\r\n");
    w.turn(0.1);
    queued.read();
    EXPECT_TRUE(queued.got.empty());  // the heir's to answer
    w.carries(pair, "meanwhile\r\n");
    kill(old.pid, SIGTERM);
    EXPECT_TRUE(w.says(pair.first, "MOVE\r\n"));
    int status = -1;
    EXPECT_TRUE(w.exits(old.pid, status));
    EXPECT_TRUE(WIFEXITED(status));
    EXPECT_EQ(WEXITSTATUS(status), 0);
}

// Each piece comes in time, and there is always another one: the new process must not wait for ever.
TEST(HotRestart, AnOldProcessThatSendsItsStateInDropsDoesNotHoldUpTheNewOne) {
    Site w;
    const Fd door = w.door();
    const auto next = w.launch();
    Peer old = w.heir_at(door);
    const TimePoint began = Clock::now();
    while (!old.ended && !old.broke && Clock::now() - began < seconds(4)) {
        old.write("pa");
        w.turn(0.3);
        old.read();
    }
    EXPECT_LT(to_seconds(Clock::now() - began), 1.5);
    EXPECT_TRUE(w.until([&] { return w.ask(next, "STATUS") == "done\r\n"; }));
}

TEST(HotRestart, TwoProcessesShareTheDescriptors) {
    Site w;
    const Fd door = w.door();
    const auto next = w.launch();
    Peer old = w.heir_at(door);
    old.write("o");
    EXPECT_TRUE(w.says(old, "t"));
    old.write("y");
    EXPECT_TRUE(w.until([&] { return w.ask(next, "STATUS") == "done\r\n"; }));
    auto pair = w.standing();
    old.write("h390"), w.turn(0.1);  // of 400
    Peer refused = w.client();
    EXPECT_TRUE(w.says(refused, "BUSY"));
    w.carries(pair, "on\r\n");
    old.fd.close(), w.turn(0.1);  // gone: all are free again
    auto other = w.standing();
    w.carries(other, "on\r\n");
}

TEST(HotRestart, ABadSecondStartLeavesTheFirstAlone) {
    Site w;
    const auto old = w.start();
    auto pair = w.standing();
    w.write_config("nowhere");
    int status = -1;
    EXPECT_TRUE(w.exits(w.spawn(w.folder.c_str()), status));
    EXPECT_TRUE(WIFEXITED(status));
    EXPECT_EQ(WEXITSTATUS(status), 1);
    w.write_config(free_place(), "");
    EXPECT_TRUE(w.exits(w.spawn(w.folder.c_str()), status));
    EXPECT_TRUE(WIFEXITED(status));
    EXPECT_EQ(WEXITSTATUS(status), 1);
    EXPECT_EQ(w.ask(old, "STATUS"), "done\r\n");
    w.carries(pair, "on\r\n");
}

TEST(HotRestart, WithoutACommonFolderBothListenSideBySide) {
    for (const char* folder : {"", "/nowhere/at/all", "/proc"}) {
        Site w;
        const auto old = w.start(folder);
        auto pair = w.standing();
        const auto next = w.start(folder);
        EXPECT_EQ(w.ask(old, "STATUS"), "done\r\n");
        w.carries(pair, "on\r\n");
        kill(old.pid, SIGTERM);
        EXPECT_TRUE(w.says(pair.first, "MOVE\r\n"));
        int status = -1;
        EXPECT_TRUE(w.exits(old.pid, status));
        EXPECT_EQ(WEXITSTATUS(status), 0);
        auto other = w.standing();
        w.carries(other, "there\r\n");
    }
}

TEST(HotRestart, AKilledProcessSSocketDoesNotHoldUpTheNext) {
    Site w;
    const auto old = w.start();
    kill(old.pid, SIGKILL);
    waitpid(old.pid, nullptr, 0);
    EXPECT_EQ(access(w.meeting.c_str(), F_OK), 0);
    const auto next = w.start();
    auto pair = w.standing();
    const auto last = w.start();
    w.leaves(next.pid);
    w.carries(pair, "on\r\n");
    w.leaves(last.pid);
    EXPECT_NE(access(w.meeting.c_str(), F_OK), 0);
}

TEST(HotRestart, NoneOfAThousandThatConnectMeanwhileGoesUnheard) {
    Site w;
    auto program = w.start();
    std::vector<Peer> open;
    int heard = 0;
    const auto listen_to = [&](size_t most) {
        EXPECT_TRUE(w.until([&] {
            std::erase_if(open, [&](Peer& p) {
                p.read();
                EXPECT_TRUE(!p.broke);
                return p.got == "PONG\r\n" && ++heard;
            });
            return open.size() <= most;
        }));
    };
    for (int round = 0; round < 3; ++round) {
        const auto next = w.launch();
        for (int k = 0; k < 340; ++k) {
            open.push_back(dial(w.listen));
            open.back().write("PING\r\n");
            if (k % 4 == 0) usleep(1000);
            listen_to(40);
        }
        EXPECT_TRUE(w.until([&] { return w.ask(next, "STATUS") == "done\r\n"; }));
        w.leaves(program.pid);
        program = next;
    }
    listen_to(0);
    EXPECT_EQ(heard, 1020);
}

// Never two that speak under one number: the new process has the address once the old one let go, and a round
// brings one message from it, before and after.
TEST(HotRestart, TheNextProcessSpeaksInTheOldOnesPlace) {
    Site site;
    Datagrams other;
    const std::string own = Datagrams().at;
    site.peers = R"("peers":{"own":")" + own + R"(","all":[")" + own + R"(",")" + other.at + R"("]},)";
    site.allowed = R"("peers":true,)";
    const auto heard = [&] {
        int n = 0;
        for (const TimePoint end = Clock::now() + seconds(6); Clock::now() < end; site.turn(0.05))
            while (!other.hear().empty()) ++n;
        return n;
    };
    const auto old = site.start();
    EXPECT_GE(heard(), 1);
    const auto next = site.start();
    const int n = heard();
    EXPECT_GE(n, 1);
    EXPECT_LE(n, 2);  // six seconds: one round or two
    site.leaves(old.pid);
    EXPECT_GE(heard(), 1);
    site.leaves(next.pid);
}
