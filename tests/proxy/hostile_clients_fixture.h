/// Clients that send at full speed, write slowly, stop half way or leave with much unread, the server behind
/// the balancer, and the real program between them.
#pragma once
#include <poll.h>

#include <atomic>
#include <mutex>
#include <thread>
#include <unordered_map>

#include "proxy/process_fixture.h"

// The settings of ProcessFixture want a request to be established within this time.
constexpr Duration setup_objective = millis(800);
constexpr int memory_limit_mb = 32;
constexpr size_t flood_bytes = size_t{64} * 1024;
constexpr int poll_ms = 20;

/// Answers each request with UP, sends every later byte back, and counts the runs of each id. Has its own
/// thread, so that it is never slower than the balancer.
class EchoServer {
   public:
    explicit EchoServer(const Listener& listener) : listener_(listener), thread_([this] { run(); }) {}
    ~EchoServer() {
        is_stopping_ = true;
        thread_.join();
    }
    EchoServer(const EchoServer&) = delete;
    EchoServer& operator=(const EchoServer&) = delete;

    /// Returns how often the request with the id has run.
    int runs(const std::string& id) {
        const std::scoped_lock lock(mutex_);
        const auto found = runs_.find(id);
        return found == runs_.end() ? 0 : found->second;
    }
    size_t total_runs() {
        const std::scoped_lock lock(mutex_);
        return total_runs_;
    }

   private:
    struct Connection {
        Peer peer;
        bool is_up = false;
        std::string unsent;
    };

    void run() {
        while (!is_stopping_) {
            while (std::optional<Peer> peer = listener_.try_accept())
                connections_.push_back({std::move(*peer), false, {}});
            std::vector<pollfd> waits{{listener_.fd.get(), POLLIN, 0}};
            for (const Connection& connection : connections_) {
                const short write_event = connection.unsent.empty() ? 0 : POLLOUT;
                waits.push_back({connection.peer.fd.get(), static_cast<short>(POLLIN | write_event), 0});
            }
            poll(waits.data(), waits.size(), poll_ms);
            for (Connection& connection : connections_) serve(connection);
            std::erase_if(connections_,
                          [](const Connection& connection) { return connection.peer.is_closed(); });
        }
    }

    void serve(Connection& connection) {
        if (connection.unsent.size() < flood_bytes) connection.peer.read();
        std::string& received = connection.peer.received;
        if (!connection.is_up) {
            const size_t end = received.find('\n');
            if (end == std::string::npos) return;
            count(received.substr(5, 16));
            received.erase(0, end + 1);
            connection.is_up = true;
            connection.unsent = "UP r\r\n";
        }
        connection.unsent += received;
        received.clear();
        const ssize_t sent = ::send(connection.peer.fd.get(), connection.unsent.data(),
                                    connection.unsent.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        if (sent > 0) connection.unsent.erase(0, static_cast<size_t>(sent));
    }

    void count(const std::string& id) {
        const std::scoped_lock lock(mutex_);
        ++runs_[id];
        ++total_runs_;
    }

    const Listener& listener_;
    std::vector<Connection> connections_;
    std::mutex mutex_;
    std::unordered_map<std::string, int> runs_;
    size_t total_runs_ = 0;
    std::atomic<bool> is_stopping_ = false;
    std::thread thread_;
};

/// Returns a request id that no other call returns.
inline std::string next_id() {
    static std::atomic<uint64_t> last = 0x1000'0000'0000'0000;
    char text[17];
    snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(++last));
    return text;
}

/// What a client sends at full speed.
enum class Flood {
    pings,
    stats,
    unknown_classes,
    many_fields,
    new_names,       ///< requests with ever new names, one after the other, each left once it is established
    leaves_at_once,  ///< the same on ever new connections, without waiting for anything
    small_lines      ///< lines of an established request
};

inline std::string first_bytes(Flood flood) {
    const std::string id = next_id();
    switch (flood) {
        case Flood::pings: return "PING\r\n";
        case Flood::stats: return "STATS\r\n";
        case Flood::unknown_classes: return "OPEN " + id + " 2b c=" + id + ",d=900\r\n";
        case Flood::many_fields: {
            std::string line = "OPEN " + id + " 2b c=chat,d=900";
            for (int k = 0; line.size() < 4080; ++k) line += "," + std::to_string(k) + "=1";
            return line + ",c\r\n";
        }
        case Flood::new_names:
        case Flood::leaves_at_once: return "OPEN " + id + " k" + id + " c=chat,d=900,g=" + id + "\r\n";
        case Flood::small_lines: return "OPEN " + id + " 2b c=chat,d=900\r\n";
    }
    return "";
}

/// Writes until the kernel accepts no more or `bytes` is empty; returns false if the connection is broken.
inline bool write_some(const Peer& peer, std::string& bytes) {
    const ssize_t sent = ::send(peer.fd.get(), bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    if (sent > 0) bytes.erase(0, static_cast<size_t>(sent));
    return sent >= 0 || errno == EAGAIN;
}

/// Floods a balancer from a thread of its own for as long as it exists. Reads all that it is sent.
class FloodingClient {
   public:
    FloodingClient(std::string address, Flood flood)
        : address_(std::move(address)), flood_(flood), thread_([this] { run(); }) {}
    ~FloodingClient() {
        is_stopping_ = true;
        thread_.join();
    }
    FloodingClient(const FloodingClient&) = delete;
    FloodingClient& operator=(const FloodingClient&) = delete;

   private:
    void run() {
        while (!is_stopping_) {
            Peer peer = connect_peer(address_);
            pollfd connected{peer.fd.get(), POLLOUT, 0};
            poll(&connected, 1, poll_ms);
            std::string bytes = first_bytes(flood_);
            if (!write_some(peer, bytes)) continue;
            if (flood_ == Flood::leaves_at_once)
                peer.send_reset();
            else
                flood(peer);
        }
    }

    void flood(Peer& peer) const {
        const bool repeats = flood_ == Flood::pings || flood_ == Flood::stats;
        const std::string unit = repeats ? first_bytes(flood_) : flood_ == Flood::small_lines ? "x\n" : "";
        std::string block;
        while (!unit.empty() && block.size() < flood_bytes) block += unit;
        std::string unsent;
        bool is_up = repeats;
        while (!is_stopping_ && !peer.is_closed()) {
            const bool writes = is_up && !block.empty();
            pollfd wait{peer.fd.get(), static_cast<short>(POLLIN | (writes ? POLLOUT : 0)), 0};
            poll(&wait, 1, poll_ms);
            peer.read();
            is_up = is_up || peer.received.starts_with("UP");
            if (is_up && flood_ == Flood::new_names) return;
            peer.received.resize(std::min<size_t>(peer.received.size(), 2));
            if (unsent.empty()) unsent = block;
            if (writes && !write_some(peer, unsent)) return;
        }
    }

    std::string address_;
    Flood flood_;
    std::atomic<bool> is_stopping_ = false;
    std::thread thread_;
};

/// Returns the largest resident memory of a process so far, in megabytes.
inline double peak_memory_mb(pid_t process) {
    std::ifstream status("/proc/" + std::to_string(process) + "/status");
    constexpr double kilobytes_per_megabyte = 1024;
    for (std::string word; status >> word;) {
        if (word != "VmHWM:") continue;
        double kilobytes = 0;
        status >> kilobytes;
        return kilobytes / kilobytes_per_megabyte;
    }
    return 0;
}

/// A balancer with a memory limit, and its server.
struct HostileClientsFixture : ProcessFixture {
    std::unique_ptr<EchoServer> server;
    Program balancer;

    /// `effect_of_requests` is the effect of the only request class.
    explicit HostileClientsFixture(const std::string& effect_of_requests = "pure") {
        effect = effect_of_requests;
        executable = std::string(BUILD) + "/headrouter";
        memory_mb = memory_limit_mb;
        fcntl(server_listener.fd.get(), F_SETFL, O_NONBLOCK);
        balancer = start();
        server = std::make_unique<EchoServer>(server_listener);
    }
    HostileClientsFixture(const HostileClientsFixture&) = delete;
    HostileClientsFixture& operator=(const HostileClientsFixture&) = delete;
    ~HostileClientsFixture() { server.reset(); }

    /// Sends a request as a usual client. Returns the time until it is established, or nothing if it was not
    /// within two seconds.
    std::optional<Duration> time_to_establish() {
        const TimePoint begun = Clock::now();
        Peer client = connect_peer(listen_address);
        client.write("OPEN " + next_id() + " 2b c=chat,d=900\r\n");
        const bool is_up = run_until([&] {
            client.read();
            return client.received.starts_with("UP") || client.is_closed();
        });
        if (is_up && client.received.starts_with("UP")) return Clock::now() - begun;
        std::cout << "not established after " << to_seconds(Clock::now() - begun) << " s, received \""
                  << client.received << "\"\n";
        return std::nullopt;
    }

    /// Sends requests for `duration`; expects each to be established within the objective. Returns the
    /// longest time.
    Duration expect_requests_in_time(Duration duration) {
        const TimePoint end = Clock::now() + duration;
        Duration longest;
        while (Clock::now() < end) {
            const std::optional<Duration> time = time_to_establish();
            EXPECT_TRUE(time.has_value());
            longest = std::max(longest, time.value_or(seconds(2)));
            run_for(millis(20));
        }
        EXPECT_LE(longest, setup_objective);
        return longest;
    }

    void report(const std::string& what, Duration longest) const {
        std::cout << what << ": longest time to establish " << to_seconds(longest) << " s, peak memory "
                  << peak_memory_mb(balancer.pid) << " MB, requests at the server " << server->total_runs()
                  << '\n';
    }
};
