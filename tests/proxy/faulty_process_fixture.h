/// Processes of the program whose system calls fail, and whose wall clock is stepped, while they serve.
#pragma once
#include <cerrno>
#include <cstring>

#include "proxy/process_fixture.h"
#include "testbed/failing_calls.h"

using testbed::FailingCalls;
using testbed::SystemCall;

/// The path of a program or library of the build.
inline std::string built(const std::string& name) { return std::string(BUILD) + "/" + name; }

inline size_t open_descriptors(pid_t process) {
    size_t count = 0;
    const std::string folder = "/proc/" + std::to_string(process) + "/fd";
    for (const auto& entry : std::filesystem::directory_iterator(folder))
        count += entry.path().empty() ? 0 : 1;
    return count;
}

/// Seconds of processor time that a process has used.
inline double cpu_seconds(pid_t process) {
    std::ifstream stat("/proc/" + std::to_string(process) + "/stat");
    std::string word;
    constexpr int user_time_field = 14;
    for (int field = 1; field < user_time_field; ++field) stat >> word;
    double user_ticks = 0, system_ticks = 0;
    stat >> user_ticks >> system_ticks;
    return (user_ticks + system_ticks) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

/// A process whose system calls fail where the test says so.
struct FaultyProcessFixture : ProcessFixture {
    FailingCalls calls{folder + "/calls", 7};
    Program running;

    FaultyProcessFixture() {
        executable = built("headrouter");
        environment = calls.environment(built("libheadrouter_failing_calls.so"));
        running = start();
        fcntl(server_listener.fd.get(), F_SETFL, O_NONBLOCK);
    }

    /// Whether the server answers the client's request with UP.
    testing::AssertionResult is_served(Peer& client) {
        Peer at_server = accept_attempt();
        at_server.write("UP r\r\n");
        return receives(client, "UP r\r\n");
    }

    /// Whether the client gets a line or a close.
    bool is_answered(Peer& client) {
        return run_until([&] {
            client.read();
            return client.is_closed() || !client.received.empty();
        });
    }
};

/// Whether the other side has closed its descriptor, after its FIN: what is sent then is answered by RST.
inline bool is_closed_by_peer(const EventLoopFixture& loop, const Peer& peer) {
    peer.write("more\r\n");
    loop.run_for(seconds(0.05));
    return pending_error(peer.fd.get()) != 0;
}

/// The wall clock of a process, as the library headrouter_clock reads it.
class WallClock {
   public:
    explicit WallClock(std::string path) : path_(std::move(path)) { step({}); }

    /// Steps the clock to `ahead` of the machine's; in place, as the process has the file mapped.
    void step(Duration ahead) const {
        const int file = open(path_.c_str(), O_WRONLY | O_CREAT | O_CLOEXEC, 0600);
        EXPECT_EQ(pwrite(file, &ahead.ns, sizeof ahead.ns, 0), static_cast<ssize_t>(sizeof ahead.ns));
        close(file);
    }

    std::vector<std::pair<std::string, std::string>> environment() const {
        return {{"LD_PRELOAD", built("libheadrouter_clock.so")}, {"HEADROUTER_CLOCK", path_}};
    }

   private:
    std::string path_;
};
