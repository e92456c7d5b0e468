/// Tests of processes whose wall clock is stepped while they serve.
#include <chrono>

#include "proxy/faulty_process_fixture.h"

namespace {

/// Returns the number of descriptors of a process apart from its connections to discovery: as discovery is
/// silent here, the process keeps some requests open. `polls` holds the test's ends of these connections.
size_t count_other_descriptors(const ProcessFixture& fixture, pid_t process, std::vector<Peer>& polls) {
    fcntl(fixture.discovery_listener.fd.get(), F_SETFL, O_NONBLOCK);
    while (std::optional<Peer> poll = fixture.discovery_listener.try_accept())
        polls.push_back(std::move(*poll));
    for (Peer& poll : polls) poll.read();
    std::erase_if(polls, [](const Peer& poll) { return poll.is_closed(); });
    return open_descriptors(process) - polls.size();
}

}  // namespace

// Guards against descriptors that stay open because the wall clock was set back.
TEST(WallClockSteps, LingeringConnectionsCloseInTimeAfterAStepBack) {
    ProcessFixture fixture;
    const WallClock clock(fixture.folder + "/clock");
    fixture.executable = build_path("headrouter");
    fixture.environment = clock.environment();
    const ProcessFixture::Program running = fixture.start();
    std::vector<Peer> polls;
    const size_t before = count_other_descriptors(fixture, running.pid, polls);
    std::vector<Peer> clients;
    for (int count = 0; count < 6; ++count) {
        clients.push_back(connect_peer(fixture.listen_address));
        clients.back().write("no request\r\n");
    }
    for (Peer& client : clients) EXPECT_TRUE(fixture.receives(client, "ERR\r\n"));
    clock.step(seconds(-3600));
    fixture.run_for(seconds(2));
    fixture.run_for(seconds(1));
    EXPECT_LE(count_other_descriptors(fixture, running.pid, polls), before);
    for (const Peer& client : clients) EXPECT_TRUE(is_closed_by_peer(fixture, client));
}

// Guards against closing connections before their peers have had time to read.
TEST(WallClockSteps, LingeringConnectionsStayOpenAfterAStepForward) {
    ProcessFixture fixture;
    const WallClock clock(fixture.folder + "/clock");
    fixture.executable = build_path("headrouter");
    fixture.environment = clock.environment();
    const ProcessFixture::Program running = fixture.start();
    Peer client = connect_peer(fixture.listen_address);
    client.write("no request\r\n");
    EXPECT_TRUE(fixture.receives(client, "ERR\r\n"));
    clock.step(seconds(3600));
    fixture.run_for(seconds(0.6));
    EXPECT_FALSE(is_closed_by_peer(fixture, client)) << running.pid;
    clock.step({});
    fixture.run_for(seconds(1.9));
    EXPECT_TRUE(is_closed_by_peer(fixture, client));
}

namespace {

/// Answers the next poll at the discovery listener with a snapshot whose server started at `started_at_ms`.
/// `polls` keeps the connections open.
void send_snapshot(ProcessFixture& fixture, std::vector<Peer>& polls, int64_t started_at_ms) {
    fcntl(fixture.discovery_listener.fd.get(), F_SETFL, O_NONBLOCK);
    const std::string body = R"({"generation":2,"reset":true,"instances":[{"instanceId":"s","hostPort":")" +
                             fixture.server_listener.address +
                             R"(","zone":"a","lifecycle":"SERVING","startedAtMs":)" +
                             std::to_string(started_at_ms) + "}]}";
    // Earlier polls have timed out by now; only the newest connection still waits for an answer.
    EXPECT_TRUE(fixture.run_until([&] {
        while (std::optional<Peer> poll = fixture.discovery_listener.try_accept())
            polls.push_back(std::move(*poll));
        if (polls.empty()) return false;
        polls.back().read();
        return polls.back().received.find("\r\n\r\n") != std::string::npos && !polls.back().saw_fin;
    }));
    polls.back().write("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
                       body);
    polls.back().received.clear();
    fixture.run_for(seconds(0.1));
}

int64_t unix_ms() {
    using namespace std::chrono;
    return duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count();
}

}  // namespace

// Guards against endpoints that look restarted because the next process reads a stepped clock.
TEST(WallClockSteps, ServerDoesNotLookRestartedAfterAHotRestartWithASteppedClock) {
    for (const Duration step : {seconds(-3600), seconds(3600)}) {
        ProcessFixture fixture;
        const WallClock clock(fixture.folder + "/clock");
        fixture.executable = build_path("headrouter");
        fixture.environment = clock.environment();
        const int64_t started_at_ms = unix_ms() - 500;
        std::vector<Peer> polls;
        const ProcessFixture::Program old = fixture.start();
        send_snapshot(fixture, polls, started_at_ms);
        auto request = fixture.establish();
        clock.step(step);
        const ProcessFixture::Program next = fixture.start();
        polls.clear();
        send_snapshot(fixture, polls, started_at_ms);
        fixture.exchange_lines(request, "on\r\n");
        EXPECT_EQ(request.client.received.find("MOVE"), std::string::npos) << to_seconds(step);
        fixture.shut_down(old.pid);
        fixture.exchange_lines(request, "still on\r\n");
        EXPECT_EQ(fixture.admin_reply(next, "STATUS"), "done\r\n");
    }
}
