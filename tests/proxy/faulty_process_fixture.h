/// Runs headrouter processes whose system calls fail or whose wall clock is stepped while they serve.
#pragma once
#include <cerrno>
#include <cstring>

#include "proxy/process_fixture.h"
#include "testbed/failing_calls.h"

using testbed::FailingCalls;
using testbed::SystemCall;

/// Returns the path of a program or library in the build folder.
inline std::string build_path(const std::string& name) { return std::string(BUILD) + "/" + name; }

/// Returns the number of open descriptors of a process.
inline size_t open_descriptors(pid_t process) {
    size_t count = 0;
    const std::string folder = "/proc/" + std::to_string(process) + "/fd";
    for (const auto& entry : std::filesystem::directory_iterator(folder))
        count += entry.path().empty() ? 0 : 1;
    return count;
}

/// Returns the processor time that a process has used, in seconds.
inline double cpu_seconds(pid_t process) {
    std::ifstream stat("/proc/" + std::to_string(process) + "/stat");
    std::string word;
    constexpr int user_time_field = 14;
    for (int field = 1; field < user_time_field; ++field) stat >> word;
    double user_ticks = 0, system_ticks = 0;
    stat >> user_ticks >> system_ticks;
    return (user_ticks + system_ticks) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

/// Runs a process whose system calls fail as the test requests.
struct FaultyProcessFixture : ProcessFixture {
    FailingCalls calls{folder + "/calls", 7};
    Program running;

    FaultyProcessFixture() {
        executable = build_path("headrouter");
        environment = calls.environment(build_path("libheadrouter_failing_calls.so"));
        running = start();
        fcntl(server_listener.fd.get(), F_SETFL, O_NONBLOCK);
    }

    /// Answers the client's request as the server with UP. Succeeds if the client receives that.
    testing::AssertionResult is_served(Peer& client) {
        Peer at_server = accept_attempt();
        at_server.write("UP r\r\n");
        return receives(client, "UP r\r\n");
    }

    /// Returns whether the client receives a line or a close within two seconds.
    bool is_answered(Peer& client) {
        return run_until([&] {
            client.read();
            return client.is_closed() || !client.received.empty();
        });
    }
};

/// Returns whether the other side, which has sent FIN, has also closed its descriptor: it then answers
/// further bytes with RST.
inline bool is_closed_by_peer(const EventLoopFixture& loop, const Peer& peer) {
    peer.write("more\r\n");
    loop.run_for(seconds(0.05));
    return pending_error(peer.fd.get()) != 0;
}

/// Controls the wall clock of a process through the file that the library headrouter_clock reads.
class WallClock {
   public:
    explicit WallClock(std::string path) : path_(std::move(path)) { step({}); }

    /// Sets the clock to the machine's plus `ahead`. Writes the file in place, as the process has it mapped.
    void step(Duration ahead) const {
        const int file = open(path_.c_str(), O_WRONLY | O_CREAT | O_CLOEXEC, 0600);
        EXPECT_EQ(pwrite(file, &ahead.ns, sizeof ahead.ns, 0), static_cast<ssize_t>(sizeof ahead.ns));
        close(file);
    }

    /// Returns the environment variables that load the library into a process.
    std::vector<std::pair<std::string, std::string>> environment() const {
        return {{"LD_PRELOAD", build_path("libheadrouter_clock.so")}, {"HEADROUTER_CLOCK", path_}};
    }

   private:
    std::string path_;
};
