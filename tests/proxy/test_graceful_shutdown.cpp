/// Tests of graceful shutdown, including processes that are stopped (SIGSTOP) meanwhile.
#include <atomic>
#include <thread>

#include "proxy/balancer_fixture.h"
#include "proxy/process_fixture.h"

/// Stops a process until SIGCONT. Returns whether it has stopped.
static bool stop(pid_t child) {
    int status = 0;
    kill(child, SIGSTOP);
    return waitpid(child, &status, WUNTRACED) == child && WIFSTOPPED(status);
}

static void disconnect(Peer& client, bool by_reset) {
    if (by_reset)
        client.send_reset();
    else
        client.send_fin();
}

// The process is stopped until its shutdown deadline has passed; forty clients connect and send their
// requests meanwhile.
TEST(GracefulShutdown, AnswersClientsInTheListenerQueueBeforeItExits) {
    ProcessFixture fixture;
    const auto program = fixture.start();
    kill(program.pid, SIGTERM);
    fixture.run_for(seconds(0.05));
    EXPECT_TRUE(stop(program.pid));
    std::vector<Peer> clients;
    for (int k = 0; k < 40; ++k) clients.push_back(fixture.connect_client());
    fixture.run_for(seconds(0.6));
    kill(program.pid, SIGCONT);
    for (Peer& client : clients) EXPECT_TRUE(fixture.sees_close(client));
    for (Peer& client : clients) EXPECT_EQ(client.received, "BUSY\r\n");
    int status = -1;
    EXPECT_TRUE(fixture.exits(program.pid, status));
    EXPECT_TRUE(WIFEXITED(status));
    EXPECT_EQ(WEXITSTATUS(status), 0);
}

namespace {

/// Clients that send nothing and connect again as soon as they are turned away, each in a thread.
class InsistentClients {
   public:
    InsistentClients(const std::string& address, int count) {
        for (int k = 0; k < count; ++k) threads_.emplace_back([this, address] { insist(address); });
    }
    InsistentClients(const InsistentClients&) = delete;
    InsistentClients& operator=(const InsistentClients&) = delete;
    ~InsistentClients() {
        is_over_ = true;
        for (std::thread& thread : threads_) thread.join();
    }

   private:
    void insist(const std::string& text) const {
        const Address address = *Address::from(text);
        while (!is_over_) {
            const FileDescriptor fd(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
            const timeval limit{.tv_sec = 0, .tv_usec = 200'000};
            setsockopt(fd.get(), SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
            if (connect(fd.get(), reinterpret_cast<const sockaddr*>(&address.bytes), address.size) != 0) {
                usleep(1000);
                continue;
            }
            char bytes[64];
            while (!is_over_ && (recv(fd.get(), bytes, sizeof bytes, 0) > 0 || errno == EAGAIN)) errno = 0;
        }
    }

    std::atomic<bool> is_over_{false};
    std::vector<std::thread> threads_;
};

}  // namespace

// Each client that is turned away puts another connection into the queue. A process that answers the queue
// until it is empty would stay there: without an answer to STATUS, with growing memory, until it is killed.
TEST(GracefulShutdown, EndsInTimeBesideClientsThatComeAgainAtOnce) {
    ProcessFixture fixture;
    const auto program = fixture.start();
    const InsistentClients clients(fixture.listen_address, 64);
    fixture.run_for(seconds(0.2));
    kill(program.pid, SIGTERM);
    const TimePoint begun = Clock::now();
    const Duration shutdown_time =
        seconds(1.4);  // the longest deadline of the settings and the last bytes' time
    int status = -1;
    bool has_ended = false;
    while (!has_ended && Clock::now() - begun < shutdown_time + seconds(1)) {
        const TimePoint asked = Clock::now();
        const std::string reply = fixture.admin_reply(program, "STATUS");
        EXPECT_LT(Clock::now() - asked, seconds(1));
        // Only a process that ends leaves a command unanswered.
        has_ended = reply.empty() ? fixture.exits(program.pid, status)
                                  : waitpid(program.pid, &status, WNOHANG) == program.pid;
        EXPECT_TRUE(has_ended || !reply.empty());
        fixture.run_for(millis(100));
    }
    EXPECT_TRUE(has_ended);
    EXPECT_TRUE(WIFEXITED(status));
    EXPECT_EQ(WEXITSTATUS(status), 0);
}

// The line arrives in pieces, the last piece when all other clients have disconnected; a second SIGTERM has
// no effect.
TEST(GracefulShutdown, WaitsForTheRestOfAPartialRequestLine) {
    ProcessFixture fixture;
    const auto program = fixture.start();
    Peer slow = connect_peer(fixture.listen_address);
    Peer silent = connect_peer(fixture.listen_address);
    slow.write("OPEN 1000000000000777 2b c=ch");
    fixture.run_for(seconds(0.05));
    kill(program.pid, SIGTERM);
    fixture.run_for(seconds(0.3));
    kill(program.pid, SIGTERM);
    fixture.run_for(seconds(0.4));
    EXPECT_TRUE(fixture.receives(silent, "BUSY\r\n"));
    silent.fd.close();
    fixture.run_for(seconds(0.3));  // no other client keeps the process running
    slow.write("at,d=900\r\n");
    EXPECT_TRUE(fixture.receives(slow, "BUSY\r\n"));
    int status = -1;
    EXPECT_TRUE(fixture.exits(program.pid, status));
    EXPECT_TRUE(WIFEXITED(status));
    EXPECT_EQ(WEXITSTATUS(status), 0);
}

// Each client connects, sends its request and disconnects while the process is stopped.
TEST(GracefulShutdown, DoesNotForwardClientsThatDisconnectWhileTheProcessIsStopped) {
    for (const bool by_reset : {false, true}) {
        ProcessFixture fixture;
        const auto program = fixture.start();
        fcntl(fixture.server_listener.fd.get(), F_SETFL, O_NONBLOCK);
        EXPECT_TRUE(stop(program.pid));
        std::vector<Peer> clients;
        for (int k = 0; k < 20; ++k) clients.push_back(fixture.connect_client());
        fixture.run_for(seconds(0.4));
        for (Peer& client : clients) disconnect(client, by_reset);
        fixture.run_for(seconds(0.4));
        kill(program.pid, SIGCONT);
        fixture.run_for(seconds(0.5));
        while (std::optional<Peer> server = fixture.server_listener.try_accept()) {
            EXPECT_TRUE(fixture.sees_close(*server));
            EXPECT_TRUE(server->received.empty());
        }
    }
}

// The same while the next process starts: neither process forwards the requests. The clients connect after
// the fork, or the child would hold their connections open.
TEST(GracefulShutdown, DoesNotForwardClientsThatDisconnectDuringAHotRestart) {
    for (const bool by_reset : {false, true}) {
        ProcessFixture fixture;
        const auto old = fixture.start();
        fcntl(fixture.server_listener.fd.get(), F_SETFL, O_NONBLOCK);
        auto request = fixture.establish();
        EXPECT_TRUE(stop(old.pid));
        const auto next = fixture.launch();
        std::vector<Peer> clients;
        for (int k = 0; k < 20; ++k) clients.push_back(fixture.connect_client());
        fixture.run_for(seconds(0.05));
        for (Peer& client : clients) disconnect(client, by_reset);
        fixture.run_for(seconds(0.35));
        kill(old.pid, SIGCONT);
        EXPECT_TRUE(fixture.run_until([&] { return fixture.is_serving(next); }));
        fixture.run_for(seconds(0.4));
        while (std::optional<Peer> server = fixture.server_listener.try_accept()) {
            EXPECT_TRUE(fixture.sees_close(*server));
            EXPECT_TRUE(server->received.empty());
        }
        fixture.exchange_lines(request, "on\r\n");
        fixture.shut_down(old.pid);
        fixture.exchange_lines(request, "still on\r\n");
    }
}

TEST(GracefulShutdown, MigratesEstablishedRequests) {
    BalancerFixture fixture;
    auto [client, server] = fixture.establish();
    fixture.balancer->begin_graceful_shutdown();
    Peer late = fixture.connect_client();
    Peer late_server = fixture.accept_attempt();
    late_server.write("UP r\r\n");
    EXPECT_TRUE(fixture.receives(late, "UP r\r\n"));
    EXPECT_TRUE(fixture.receives(client, "MOVE\r\n"));
    EXPECT_TRUE(fixture.sees_close(client));
    EXPECT_TRUE(client.saw_fin);
    EXPECT_TRUE(fixture.sees_close(server));
    EXPECT_TRUE(fixture.receives(late, "MOVE\r\n"));
}
