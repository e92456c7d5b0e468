/// Tests hot restart with real processes; the test acts as their clients, servers and discovery.
#include <sys/prctl.h>
#include <sys/stat.h>
#include <sys/un.h>
#include <sys/wait.h>

#include <csignal>
#include <cstdio>
#include <fstream>
#include <iostream>  // constructs the standard streams before the cases run

#include "app/command_line.h"
#include "hot_restart/state_version.h"
#include "proxy/process_fixture.h"
#include "proxy/socket_peers.h"

TEST(HotRestart, NewProcessTakesOverRequestsInEveryState) {
    ProcessFixture fixture;
    const auto old = fixture.start();
    auto request = fixture.establish();
    request.client.write("half a ");
    Peer pending = fixture.connect_client();  // its server has not answered yet
    Peer pending_server = fixture.accept_attempt();
    Peer slow = connect_peer(fixture.listen_address);
    slow.write("OPEN 0123456789");
    fixture.run_for(seconds(0.05));
    const auto next = fixture.start();
    EXPECT_EQ(fixture.admin_reply(old, "STATUS").substr(0, 5), "error");
    fixture.shut_down(old.pid);  // right after the old process has released everything
    request.client.write("line\r\n");
    EXPECT_TRUE(fixture.receives(request.server, "half a line\r\n"));
    pending_server.write("UP q\r\n");
    EXPECT_TRUE(fixture.receives(pending, "UP q\r\n"));
    slow.write("abcdef 2b c=chat,d=900\r\n");
    Peer slow_server = fixture.accept_attempt();
    slow_server.write("UP t\r\n");
    EXPECT_TRUE(fixture.receives(slow, "UP t\r\n"));
    fixture.exchange_lines(request, "more\r\n");
    // The new process does not count the adopted request as one that it established itself. The id of an open
    // request stays in use.
    EXPECT_EQ(fixture.admin_reply(next, "METRICS").find(R"({"succeeded":{"chat":2},)"), 0);
    EXPECT_NE(fixture.admin_reply(next, "METRICS").find(R"("forwards":1,"outstanding":3,)"),
              std::string::npos);
    Peer twice = connect_peer(fixture.listen_address);
    twice.write("OPEN " + std::to_string(fixture.last_id) + " 2b c=chat,d=900\r\n");
    EXPECT_TRUE(fixture.receives(twice, "ERR\r\n"));
    request.server.write("BYE\r\n");
    request.server.send_fin();
    EXPECT_TRUE(fixture.receives(request.client, "BYE\r\n"));
    EXPECT_TRUE(fixture.sees_close(request.client));
    EXPECT_TRUE(request.client.saw_fin);
}

TEST(HotRestart, RequestSurvivesTwoRestartsWhenTheFirstTwoProcessesShutDownLate) {
    ProcessFixture fixture;
    const auto first = fixture.start();
    auto request = fixture.establish();
    const auto second = fixture.start();
    const auto third = fixture.start();
    fixture.exchange_lines(request, "one\r\n");
    fixture.run_for(seconds(0.3));
    fixture.exchange_lines(request, "two\r\n");
    fixture.shut_down(second.pid);  // after its successor has taken over, and before the first process
    fixture.shut_down(first.pid);
    fixture.exchange_lines(request, "three\r\n");
    EXPECT_NE(fixture.admin_reply(third, "METRICS").find(R"("outstanding":1,)"), std::string::npos);
}

// Guards against requests to servers that drain, sent by a process that counts the list it took over as
// current although the old process knew that it is outdated.
TEST(HotRestart, NewProcessRejectsAtOnceIfTheListOfTheOldOneIsOutdated) {
    ProcessFixture fixture;
    fixture.drain_grace_json = R"("drainGraceNs":1000000000,)";
    const auto old = fixture.start();
    auto request = fixture.establish();
    fixture.run_for(seconds(1.2));  // the agent is silent: the cached list is not confirmed
    Peer before = fixture.connect_client();
    EXPECT_TRUE(fixture.receives(before, "BUSY"));
    const auto next = fixture.start();
    EXPECT_EQ(fixture.admin_reply(old, "STATUS").substr(0, 5), "error");
    Peer after = fixture.connect_client();
    EXPECT_TRUE(fixture.receives(after, "BUSY"));
    fixture.exchange_lines(request, "still here\r\n");
    EXPECT_NE(fixture.admin_reply(next, "METRICS").find(R"("forwards":0,)"), std::string::npos);
}

// Guards against a process that asks the discovery of a new configuration for the changes since a version of
// the old one, and so misses drains.
TEST(HotRestart, NewProcessAsksForTheWholeListIfAReloadedDiscoveryHasNotAnswered) {
    ProcessFixture fixture;
    const auto old = fixture.start();
    Peer old_watch = fixture.accept(fixture.discovery_listener);
    EXPECT_TRUE(fixture.receives(old_watch, "GET /v1/servers HTTP/1.1\r\n"));
    const std::string list = R"({"generation":5,"reset":true,"instances":[{"instanceId":"s","hostPort":")" +
                             fixture.server_listener.address + R"(","zone":"a","lifecycle":"SERVING"}]})";
    old_watch.write("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(list.size()) + "\r\n\r\n" + list);
    EXPECT_TRUE(fixture.receives(old_watch, "since=5"));
    Listener new_discovery;
    std::swap(fixture.discovery_listener, new_discovery);
    fixture.write_config(old.admin_address);
    kill(old.pid, SIGHUP);
    Peer unanswered = fixture.accept(fixture.discovery_listener);
    EXPECT_TRUE(fixture.receives(unanswered, "GET /v1/servers HTTP/1.1\r\n"));
    const auto next = fixture.start();
    EXPECT_TRUE(fixture.sees_close(unanswered));
    Peer watch;
    do {
        watch = fixture.accept(fixture.discovery_listener);  // late requests of the old process come first
        fixture.run_until([&] {
            watch.read();
            return watch.is_closed() || watch.received.find("\r\n\r\n") != std::string::npos;
        });
    } while (watch.is_closed());
    EXPECT_EQ(watch.received.find("GET /v1/servers HTTP/1.1\r\n"), 0U) << watch.received;
    EXPECT_TRUE(fixture.is_serving(next));
}

TEST(HotRestart, OldProcessContinuesToServeWhenTheNewOneDies) {
    ProcessFixture fixture;
    const auto old = fixture.start();
    auto request = fixture.establish();
    {
        Peer child = fixture.connect_as_child(std::string(hot_restart::state_version.name));
        fixture.run_for(seconds(0.02));
    }  // dies while it has all descriptors
    EXPECT_TRUE(fixture.run_until([&] { return fixture.is_serving(old); }));
    fixture.exchange_lines(request, "still here\r\n");
    { Peer stranger = fixture.connect_as_child("\xff\xfe"); }
    fixture.exchange_lines(request, "and here\r\n");
    const auto next = fixture.start();
    fixture.exchange_lines(request, "and there\r\n");
    kill(next.pid, SIGKILL);  // its requests are lost; the old process serves new ones again
    EXPECT_TRUE(fixture.sees_close(request.client));
    EXPECT_TRUE(fixture.run_until([&] { return fixture.is_serving(old); }));
    auto later_request = fixture.establish();
    const auto last = fixture.start();
    fixture.shut_down(old.pid);
    fixture.exchange_lines(later_request, "on\r\n");
    EXPECT_EQ(fixture.admin_reply(last, "STATUS"), "done\r\n");
}

TEST(HotRestart, NewProcessStartsWithoutTheStateWhenItIsTruncatedOrCorrupt) {
    ProcessFixture fixture;
    const auto old = fixture.start();
    auto request = fixture.establish();
    std::string state;
    {
        Peer child = fixture.connect_as_child(std::string(hot_restart::state_version.name));
        char bytes[65536];
        ssize_t size = recv(child.fd.get(), bytes, sizeof bytes, 0);
        while (size > 0 && bytes[0] != 'w') {
            if (bytes[0] == 'p') state.append(bytes + 1, static_cast<size_t>(size) - 1);
            size = recv(child.fd.get(), bytes, sizeof bytes, 0);
        }
    }
    EXPECT_GT(state.size(), 500u);
    fixture.exchange_lines(request, "on\r\n");
    kill(old.pid, SIGKILL);
    waitpid(old.pid, nullptr, 0);
    std::string with_flipped_bit = state;
    char& middle = with_flipped_bit[state.size() / 2];
    middle = static_cast<char>(middle ^ 1);
    std::string of_another_version = state;
    char& version = of_another_version[8];
    version = static_cast<char>(version ^ 1);
    for (const std::string& bad :
         {state.substr(0, 400), std::string(), with_flipped_bit, of_another_version, state}) {
        const FileDescriptor parent = fixture.listen_as_parent();
        const auto next = fixture.launch();
        Peer child = fixture.accept_child(parent);
        child.write("p" + bad);
        child.write("w");  // without the requests' descriptors
        EXPECT_TRUE(fixture.sees_close(child));
        EXPECT_TRUE(fixture.run_until([&] { return fixture.is_serving(next); }));
        kill(next.pid, SIGKILL);
        waitpid(next.pid, nullptr, 0);
    }
}

// Guards against a blocking connect: the old process is stopped, so the accept queue of its hot-restart
// socket is full.
TEST(HotRestart, NewProcessIsNotDelayedWhenTheOldOneIsStopped) {
    ProcessFixture fixture;
    const auto old = fixture.start();
    kill(old.pid, SIGSTOP);
    std::vector<FileDescriptor> queued;
    for (int k = 0; k < 8; ++k) {
        queued.emplace_back(socket(AF_UNIX, SOCK_SEQPACKET | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
        const sockaddr_un address = fixture.hot_restart_address();
        (void)connect(queued.back().get(), reinterpret_cast<const sockaddr*>(&address), sizeof address);
    }
    const auto next = fixture.start();
    EXPECT_EQ(fixture.admin_reply(next, "STATUS"), "done\r\n");
    queued.clear();
    kill(next.pid, SIGKILL);
    waitpid(next.pid, nullptr, 0);
    const auto last = fixture.start();  // its connection is queued and never answered
    EXPECT_EQ(fixture.admin_reply(last, "STATUS"), "done\r\n");
}

TEST(HotRestart, OldProcessHandsOverTheListenerAndMigratesItsClientsWhenStateVersionsDiffer) {
    ProcessFixture fixture;
    const auto old = fixture.start();
    auto request = fixture.establish();
    Peer child = fixture.connect_as_child("another");
    child.write("t");
    EXPECT_TRUE(
        fixture.run_until([&] { return fixture.admin_reply(old, "STATUS").substr(0, 5) == "error"; }));
    Peer queued = connect_peer(fixture.listen_address);
    queued.write("PING\r\n");
    fixture.run_for(seconds(0.1));
    queued.read();
    EXPECT_TRUE(queued.received.empty());  // the old process no longer accepts; the next one would answer
    fixture.exchange_lines(request, "meanwhile\r\n");
    kill(old.pid, SIGTERM);
    EXPECT_TRUE(fixture.receives(request.client, "MOVE\r\n"));
    int status = -1;
    EXPECT_TRUE(fixture.exits(old.pid, status));
    EXPECT_TRUE(WIFEXITED(status));
    EXPECT_EQ(WEXITSTATUS(status), 0);
}

// Guards against a new process that waits for ever because each part of the state arrives in time but the
// state never ends.
TEST(HotRestart, NewProcessIsNotDelayedWhenTheOldOneSendsItsStateSlowly) {
    ProcessFixture fixture;
    const FileDescriptor parent = fixture.listen_as_parent();
    const auto next = fixture.launch();
    Peer old = fixture.accept_child(parent);
    const TimePoint began = Clock::now();
    while (!old.is_closed() && Clock::now() - began < seconds(4)) {
        old.write("pa");
        fixture.run_for(seconds(0.3));
        old.read();
    }
    EXPECT_LT(to_seconds(Clock::now() - began), 1.5);
    EXPECT_TRUE(fixture.run_until([&] { return fixture.is_serving(next); }));
}

TEST(HotRestart, NewProcessRejectsClientsWhileTheOldOneHoldsTheDescriptors) {
    ProcessFixture fixture;
    const FileDescriptor parent = fixture.listen_as_parent();
    const auto next = fixture.launch();
    Peer old = fixture.accept_child(parent);
    old.write("o");
    EXPECT_TRUE(fixture.receives(old, "t"));
    old.write("y");
    EXPECT_TRUE(fixture.run_until([&] { return fixture.is_serving(next); }));
    auto request = fixture.establish();
    old.write("h390");  // of 400
    fixture.run_for(seconds(0.1));
    Peer refused = fixture.connect_client();
    EXPECT_TRUE(fixture.receives(refused, "BUSY"));
    fixture.exchange_lines(request, "on\r\n");
    old.fd.close();  // the old process has exited: all descriptors are available again
    fixture.run_for(seconds(0.1));
    auto other = fixture.establish();
    fixture.exchange_lines(other, "on\r\n");
}

TEST(HotRestart, OldProcessContinuesToServeWhenTheNewOneHasABadConfiguration) {
    ProcessFixture fixture;
    const auto old = fixture.start();
    auto request = fixture.establish();
    fixture.write_config("nowhere");
    int status = -1;
    EXPECT_TRUE(fixture.exits(fixture.spawn(fixture.folder.c_str()), status));
    EXPECT_TRUE(WIFEXITED(status));
    EXPECT_EQ(WEXITSTATUS(status), 1);
    fixture.write_config(unused_address(), "");
    EXPECT_TRUE(fixture.exits(fixture.spawn(fixture.folder.c_str()), status));
    EXPECT_TRUE(WIFEXITED(status));
    EXPECT_EQ(WEXITSTATUS(status), 1);
    EXPECT_EQ(fixture.admin_reply(old, "STATUS"), "done\r\n");
    fixture.exchange_lines(request, "on\r\n");
}

TEST(HotRestart, BothProcessesServeWhenTheyHaveNoCommonFolder) {
    for (const char* folder : {"", "/nowhere/at/all", "/proc"}) {
        ProcessFixture fixture;
        const auto old = fixture.start(folder);
        auto request = fixture.establish();
        const auto next = fixture.start(folder);
        EXPECT_EQ(fixture.admin_reply(old, "STATUS"), "done\r\n");
        fixture.exchange_lines(request, "on\r\n");
        kill(old.pid, SIGTERM);
        EXPECT_TRUE(fixture.receives(request.client, "MOVE\r\n"));
        int status = -1;
        EXPECT_TRUE(fixture.exits(old.pid, status));
        EXPECT_EQ(WEXITSTATUS(status), 0);
        auto other = fixture.establish();
        fixture.exchange_lines(other, "there\r\n");
    }
}

TEST(HotRestart, NewProcessIsNotDelayedBySocketOfAKilledProcess) {
    ProcessFixture fixture;
    const auto old = fixture.start();
    kill(old.pid, SIGKILL);
    waitpid(old.pid, nullptr, 0);
    EXPECT_EQ(access(fixture.hot_restart_socket.c_str(), F_OK), 0);
    const auto next = fixture.start();
    auto request = fixture.establish();
    const auto last = fixture.start();
    fixture.shut_down(next.pid);
    fixture.exchange_lines(request, "on\r\n");
    fixture.shut_down(last.pid);
    EXPECT_NE(access(fixture.hot_restart_socket.c_str(), F_OK), 0);
}

TEST(HotRestart, AnswersEachOfAThousandClientsThatConnectDuringRestarts) {
    ProcessFixture fixture;
    auto program = fixture.start();
    std::vector<Peer> waiting;
    int answered = 0;
    const auto read_answers = [&](size_t max_waiting) {
        EXPECT_TRUE(fixture.run_until([&] {
            std::erase_if(waiting, [&](Peer& peer) {
                peer.read();
                EXPECT_FALSE(peer.saw_reset);
                const bool is_answered = peer.received == "PONG\r\n";
                if (is_answered) ++answered;
                return is_answered;
            });
            return waiting.size() <= max_waiting;
        }));
    };
    for (int round = 0; round < 3; ++round) {
        const auto next = fixture.launch();
        for (int k = 0; k < 340; ++k) {
            waiting.push_back(connect_peer(fixture.listen_address));
            waiting.back().write("PING\r\n");
            if (k % 4 == 0) usleep(1000);
            read_answers(40);
        }
        EXPECT_TRUE(fixture.run_until([&] { return fixture.is_serving(next); }));
        fixture.shut_down(program.pid);
        program = next;
    }
    read_answers(0);
    EXPECT_EQ(answered, 1020);
}

// Guards against two processes that send gossip as the same replica: the new one binds the address only after
// the old one has released it.
TEST(HotRestart, OnlyTheNewProcessSendsGossipAfterARestart) {
    ProcessFixture fixture;
    GossipPeer other;
    const std::string own = GossipPeer().address;
    fixture.gossip_json =
        R"("peers":{"own":")" + own + R"(","all":[")" + own + R"(",")" + other.address + R"("]},)";
    fixture.gossip_allowed_json = R"("peers":true,)";
    const auto count_received = [&] {
        int count = 0;
        const TimePoint end = Clock::now() + seconds(6);
        while (Clock::now() < end) {
            while (!other.receive().empty()) ++count;
            fixture.run_for(millis(50));
        }
        return count;
    };
    const auto old = fixture.start();
    EXPECT_GE(count_received(), 1);
    const auto next = fixture.start();
    const int received = count_received();
    EXPECT_GE(received, 1);
    EXPECT_LE(received, 2);  // six seconds hold one gossip round or two
    fixture.shut_down(old.pid);
    EXPECT_GE(count_received(), 1);
    fixture.shut_down(next.pid);
}
