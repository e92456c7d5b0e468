/// Stand-ins for the peers of one balancer: a discovery agent, servers and clients, all on loopback
/// addresses, and the start and end of the balancer's process. Every thread appends to one record.
#pragma once
#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace standins {

using Clock = std::chrono::steady_clock;

/// Seconds since the start of the case.
inline double now() {
    static const Clock::time_point start = Clock::now();
    return std::chrono::duration<double>(Clock::now() - start).count();
}

inline void sleep_for(double seconds) {
    if (seconds > 0) std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

/// Ends the case with the exit code for "could not run".
[[noreturn]] inline void cannot_run(const std::string& why) {
    std::fprintf(stderr, "could not run: %s\n", why.c_str());
    std::_Exit(2);
}

/// The record of what was sent, answered and run. The file is named by the variable RECORD.
class Record {
   public:
    static Record& get() {
        static Record record;
        return record;
    }
    void line(const char* format, ...) __attribute__((format(printf, 2, 3))) {
        char text[1024];
        va_list arguments;
        va_start(arguments, format);
        std::vsnprintf(text, sizeof text, format, arguments);
        va_end(arguments);
        const std::lock_guard<std::mutex> lock(mutex_);
        std::fprintf(file_, "%9.4f %s\n", now(), text);
        std::fflush(file_);
    }

   private:
    Record() {
        const char* const path = std::getenv("RECORD");
        file_ = std::fopen(path != nullptr ? path : "record.txt", "w");
        if (file_ == nullptr) cannot_run("the record cannot be written");
    }
    std::FILE* file_;
    std::mutex mutex_;
};

// ---- sockets ----

/// Returns 127.X.Y.HOST; X and Y differ from run to run, so that runs side by side do not meet.
inline std::string loopback(int host) {
    const int pid = getpid();
    return "127." + std::to_string(64 + pid / 250 % 128) + "." + std::to_string(1 + pid % 250) + "." +
           std::to_string(host);
}

inline sockaddr_in address_of(const std::string& host, int port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<uint16_t>(port));
    inet_pton(AF_INET, host.c_str(), &address.sin_addr);
    return address;
}

inline const sockaddr* generic(const sockaddr_in& address) {
    return reinterpret_cast<const sockaddr*>(&address);
}

struct Listener {
    int fd = -1;
    std::string host;
    int port = 0;
    std::string address() const { return host + ":" + std::to_string(port); }
};

inline Listener listen_at(const std::string& host) {
    Listener listener{socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), host, 0};
    sockaddr_in address = address_of(host, 0);
    socklen_t size = sizeof address;
    if (bind(listener.fd, generic(address), size) != 0 || listen(listener.fd, 128) != 0)
        cannot_run("cannot listen on " + host);
    getsockname(listener.fd, reinterpret_cast<sockaddr*>(&address), &size);
    listener.port = ntohs(address.sin_port);
    return listener;
}

/// Returns a free port of `host`, for a process that will listen there itself.
inline int free_port(const std::string& host) {
    const Listener listener = listen_at(host);
    close(listener.fd);
    return listener.port;
}

inline int connect_to(const std::string& host, int port) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = address_of(host, port);
    if (fd >= 0 && connect(fd, generic(address), sizeof address) == 0) {
        const int on = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        return fd;
    }
    if (fd >= 0) close(fd);
    return -1;
}

inline bool send_all(int fd, const std::string& bytes) {
    size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t count = send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0) return false;
        sent += static_cast<size_t>(count);
    }
    return true;
}

enum class ReadEnd { line, closed, reset, timeout };

/// Reads lines from one connection.
class LineReader {
   public:
    explicit LineReader(int fd) : fd_(fd) {}

    /// Reads the next line, without its CRLF, until the time `until`. Without a line, `line` is what came.
    ReadEnd read(std::string& line, double until) {
        for (;;) {
            const size_t end = buffer_.find("\r\n");
            if (end != std::string::npos) {
                line = buffer_.substr(0, end);
                buffer_.erase(0, end + 2);
                return ReadEnd::line;
            }
            line = buffer_;
            const double left = until - now();
            if (left <= 0) return ReadEnd::timeout;
            pollfd entry{fd_, POLLIN, 0};
            if (poll(&entry, 1, static_cast<int>(left * 1000) + 1) <= 0) continue;
            char bytes[4096];
            const ssize_t count = recv(fd_, bytes, sizeof bytes, 0);
            if (count == 0) return ReadEnd::closed;
            if (count < 0) return ReadEnd::reset;
            if (first_byte_at_ < 0) first_byte_at_ = now();
            total_ += static_cast<size_t>(count);
            if (buffer_.size() < 65536) buffer_.append(bytes, static_cast<size_t>(count));
        }
    }
    double first_byte_at() const { return first_byte_at_; }
    size_t total() const { return total_; }

   private:
    int fd_;
    std::string buffer_;
    double first_byte_at_ = -1;
    size_t total_ = 0;
};

/// Ends a connection with a reset.
inline void reset(int fd) {
    const linger no_linger{1, 0};
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &no_linger, sizeof no_linger);
    close(fd);
}

/// Splits "OPEN id key name=value,..." and returns the named value, or the id for "id"; "" if it is missing.
inline std::string field(const std::string& line, const std::string& name) {
    if (name == "id") return line.substr(0, 5) == "OPEN " ? line.substr(5, 16) : "";
    const size_t fields = line.rfind(' ') + 1;
    size_t begin = fields;
    while (begin < line.size()) {
        const size_t end = std::min(line.find(',', begin), line.size());
        const std::string part = line.substr(begin, end - begin);
        if (part.rfind(name + "=", 0) == 0) return part.substr(name.size() + 1);
        begin = end + 1;
    }
    return "";
}

// ---- discovery ----

/// An agent that answers GET /v1/servers and its watches, as PROTOCOL.md describes them.
class Agent {
   public:
    struct Instance {
        std::string id;
        std::string host_port;
        std::string zone;
        std::string lifecycle = "SERVING";
        int64_t generation = 1;
    };

    Agent(const std::string& host, std::vector<Instance> instances)
        : listener_(listen_at(host)), instances_(std::move(instances)) {
        std::thread([this] { accept_all(); }).detach();
    }
    std::string address() const { return listener_.address(); }

    /// Time by which each answer comes late.
    std::atomic<double> delay{0};
    std::atomic<int> calls{0};
    std::atomic<int> answers{0};

    /// Changes the lifecycle of a server and returns when the agent had the change.
    double change(const std::string& id, const std::string& lifecycle) {
        const std::lock_guard<std::mutex> lock(mutex_);
        ++generation_;
        for (Instance& instance : instances_)
            if (instance.id == id) {
                instance.lifecycle = lifecycle;
                instance.generation = generation_;
            }
        Record::get().line("agent    has %s %s, generation %lld", id.c_str(), lifecycle.c_str(),
                           static_cast<long long>(generation_));
        changed_.notify_all();
        return now();
    }

    /// The list in discovery's form: the whole list, or what changed after `since`.
    std::string list(int64_t since = -1) {
        const std::lock_guard<std::mutex> lock(mutex_);
        return list_locked(since);
    }

   private:
    std::string list_locked(int64_t since) const {
        std::string text;
        for (const Instance& instance : instances_) {
            const bool is_gone = instance.lifecycle == "DELETED";
            if (since < 0 ? is_gone : instance.generation <= since) continue;
            text += text.empty() ? "" : ",";
            text += R"({"instanceId":")" + instance.id + R"(","hostPort":")" + instance.host_port +
                    R"(","zone":")" + instance.zone + R"(","machineType":"lite-3c","cell":0,"lifecycle":")" +
                    instance.lifecycle + R"(","weight":1.0,"startedAtMs":0})";
        }
        return R"({"generation":)" + std::to_string(generation_) + R"(,"reset":)" +
               (since < 0 ? "true" : "false") + R"(,"instances":[)" + text + "]}";
    }

    void accept_all() {
        for (;;) {
            const int fd = accept4(listener_.fd, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd >= 0) std::thread([this, fd] { serve(fd); }).detach();
        }
    }

    void serve(int fd) {
        LineReader reader(fd);
        for (;;) {
            std::string request;
            std::string header;
            if (reader.read(request, now() + 100) != ReadEnd::line) break;
            while (reader.read(header, now() + 10) == ReadEnd::line && !header.empty()) continue;
            ++calls;
            if (!answer(fd, request)) break;
        }
        close(fd);
    }

    bool answer(int fd, const std::string& request) {
        const auto number = [&](const std::string& name, int64_t otherwise) {
            const size_t at = request.find(name + "=");
            return at == std::string::npos ? otherwise : std::atoll(request.c_str() + at + name.size() + 1);
        };
        const int64_t since = number("since", -1);
        const int64_t wait_ms = number("timeout_ms", 0);
        std::string body;
        {
            std::unique_lock<std::mutex> lock(mutex_);
            changed_.wait_for(lock, std::chrono::milliseconds(wait_ms), [&] { return generation_ > since; });
            body = list_locked(since);
        }
        const double late = delay;
        sleep_for(late);
        const std::string answer = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " +
                                   std::to_string(body.size()) + "\r\n\r\n" + body;
        const bool is_sent = send_all(fd, answer);
        ++answers;
        const bool has_entries = body.find("instanceId") != std::string::npos;
        if (has_entries || late > 0)
            Record::get().line("agent    answers '%s' %.1f s late%s%s", request.c_str(), late,
                               is_sent ? "" : " (the connection was closed)",
                               has_entries ? ": has entries" : ": no change");
        return is_sent;
    }

    Listener listener_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::vector<Instance> instances_;
    int64_t generation_ = 1;
};

// ---- servers ----

/// Accepts connections of balancers and gives each to `handle`, in a thread of its own.
class Server {
   public:
    using Handler = std::function<void(Server&, int fd)>;

    Server(std::string id, const std::string& host, Handler handle)
        : name(std::move(id)), listener_(listen_at(host)), handle_(std::move(handle)) {
        std::thread([this] { accept_all(); }).detach();
    }
    std::string address() const { return listener_.address(); }
    Agent::Instance instance() const {
        return {name, address(), name.back() % 2 == 0 ? "salt-lake" : "new-town", "SERVING", 1};
    }
    const Listener& listener() const { return listener_; }

    const std::string name;
    std::atomic<bool> accepts{true};  ///< while false, connections stay in the listener's queue

   private:
    void accept_all() {
        for (;;) {
            pollfd entry{listener_.fd, POLLIN, 0};
            poll(&entry, 1, 20);
            if (!accepts || (entry.revents & POLLIN) == 0) {
                if (!accepts) sleep_for(0.005);
                continue;
            }
            const int fd = accept4(listener_.fd, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0) continue;
            const int on = 1;
            setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            std::thread([this, fd] { handle_(*this, fd); }).detach();
        }
    }

    Listener listener_;
    Handler handle_;
};

/// Serves an established connection: one line back for each line, until the other side ends it.
inline void echo(int fd, LineReader& reader) {
    std::string line;
    while (reader.read(line, now() + 120) == ReadEnd::line)
        if (!send_all(fd, "echo " + line + "\r\n")) break;
    close(fd);
}

// ---- the balancer ----

struct Balancer {
    pid_t pid = -1;
    std::string host;
    int port = 0;
    int admin_port = 0;
    std::string folder;
};

inline void write_file(const std::string& path, const std::string& text) {
    std::ofstream(path + ".new") << text;
    std::rename((path + ".new").c_str(), path.c_str());
}

/// Starts the deploy file's `run` command (variable RUN) in the repository's root (variable ROOT) and waits
/// until it takes clients. `settings` is the JSON object of the settings, `known` the list as last had.
inline Balancer start_balancer(const std::string& agent, const std::string& known,
                               const std::string& settings) {
    const char* const run = std::getenv("RUN");
    const char* const root = std::getenv("ROOT");
    const char* const temporary = std::getenv("FOLDER");
    if (run == nullptr || root == nullptr || temporary == nullptr) cannot_run("start it with run.sh");
    Balancer balancer;
    balancer.host = loopback(2);
    balancer.port = free_port(balancer.host);
    balancer.admin_port = free_port(loopback(3));
    balancer.folder = temporary;
    const std::string run_folder = balancer.folder + "/tmp";
    mkdir(run_folder.c_str(), 0700);
    const std::string config = balancer.folder + "/config.json";
    write_file(config,
               R"({"name":"n1","listen":")" + balancer.host + ":" + std::to_string(balancer.port) +
                   R"(","ops":")" + loopback(3) + ":" + std::to_string(balancer.admin_port) +
                   R"(","discovery":")" + agent +
                   R"(","seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":192,"sockets":1024},)" +
                   R"("known":)" + known + R"(,"settings":)" + settings + "}");
    const std::string log = balancer.folder + "/balancer.log";
    balancer.pid = fork();
    if (balancer.pid == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int out = open(log.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0600);
        dup2(out, STDOUT_FILENO);
        dup2(out, STDERR_FILENO);
        setenv("PROXY_CONFIG", config.c_str(), 1);
        setenv("TMPDIR", run_folder.c_str(), 1);
        if (chdir(root) != 0) std::_Exit(127);
        execl("/bin/sh", "sh", "-c", run, nullptr);
        std::_Exit(127);
    }
    for (const double end = now() + 15; now() < end; sleep_for(0.05)) {
        const int fd = connect_to(loopback(3), balancer.admin_port);
        if (fd < 0) continue;
        send_all(fd, "STATUS\r\n");
        std::string line;
        LineReader(fd).read(line, now() + 1);
        close(fd);
        if (line == "done") {
            Record::get().line("balancer takes clients");
            return balancer;
        }
    }
    kill(balancer.pid, SIGKILL);
    cannot_run("the balancer did not start");
}

/// Returns whether the balancer still ran; it is ended in any case.
[[nodiscard]] inline bool end_balancer(const Balancer& balancer) {
    int status = 0;
    const bool ran = waitpid(balancer.pid, &status, WNOHANG) == 0;
    kill(balancer.pid, SIGKILL);
    waitpid(balancer.pid, &status, 0);
    return ran;
}

/// Ends the case: 1 if the rule was broken, else 0.
[[noreturn]] inline void end_case(bool is_broken) {
    std::fflush(nullptr);
    std::_Exit(is_broken ? 1 : 0);
}

// ---- clients ----

/// How a client's request ended, as the client saw it.
struct Answer {
    ReadEnd end = ReadEnd::timeout;
    std::string line;    ///< the first line, or the bytes that came without a line's end
    size_t bytes = 0;    ///< all that came
    double sent_at = 0;  ///< when the request's last byte was written
    double at = 0;       ///< when the answer, the end or the time limit came
};

/// Sends a request line and waits for its answer until `limit` seconds after it. A served client sends a
/// line, reads one and leaves after `hold` seconds.
inline Answer request(const Balancer& balancer, const std::string& line, double limit, double hold) {
    Answer answer;
    const int fd = connect_to(balancer.host, balancer.port);
    if (fd < 0) cannot_run("the balancer takes no connection");
    send_all(fd, line + "\r\n");
    answer.sent_at = now();
    LineReader reader(fd);
    answer.end = reader.read(answer.line, answer.sent_at + limit);
    answer.at = now();
    answer.bytes = reader.total();
    if (answer.end == ReadEnd::line && answer.line.rfind("UP ", 0) == 0) {
        std::string back;
        send_all(fd, "hello\r\n");
        reader.read(back, now() + 1);
        sleep_for(hold);
    }
    close(fd);
    return answer;
}

inline std::string hex16(uint64_t value) {
    char text[17];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(value));
    return text;
}

/// A random number generator, so that ids differ from run to run.
inline uint64_t random_number() {
    static std::atomic<uint64_t> state{static_cast<uint64_t>(getpid()) * 0x9e3779b97f4a7c15ULL +
                                       static_cast<uint64_t>(Clock::now().time_since_epoch().count())};
    uint64_t z = state.fetch_add(0x9e3779b97f4a7c15ULL);
    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
    z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
    return z ^ (z >> 31);
}

inline const char* name_of(ReadEnd end) {
    switch (end) {
        case ReadEnd::line: return "line";
        case ReadEnd::closed: return "end of the connection";
        case ReadEnd::reset: return "reset";
        case ReadEnd::timeout: return "nothing in time";
    }
    return "";
}

inline bool has_trouble() {
    const char* const trouble = std::getenv("TROUBLE");
    return trouble == nullptr || std::strcmp(trouble, "0") != 0;
}

/// The traffic types of the site kolkata-setu, with their guard times.
struct TrafficType {
    const char* name;
    int guard_ms;
    int target_ms;
};
constexpr TrafficType traffic_types[] = {
    {"status-watch", 3200, 800}, {"kyc-match", 2000, 500}, {"plan-set", 1200, 300}};

/// What a case changes of the settings of kolkata-setu.
struct Changes {
    std::string effect = "pure";
    int window_ms = 5000;
    int dial_ms = 150;
};

/// The settings of the site kolkata-setu, as the page on the simulator's wire shows them.
inline std::string settings(const Changes& changes = {}) {
    const auto nanoseconds = [](int milliseconds) { return std::to_string(milliseconds) + "000000"; };
    std::string types;
    for (const TrafficType& type : traffic_types)
        types += std::string(types.empty() ? "" : ",") + R"({"effect":")" + changes.effect +
                 R"(","guardTimeNs":)" + nanoseconds(type.guard_ms) + R"(,"keyScope":"all","name":")" +
                 type.name + R"(","overdueRevenue":0.0,"revenue":2.0,"setupTargetNs":)" +
                 nanoseconds(type.target_ms) + R"(,"streamed":true,"windowNs":)" +
                 nanoseconds(changes.window_ms) + "}";
    return R"({"az":0,"ceilings":{"cancelling":true,"connIdleNs":30000000000,"cpuUsPerRequest":0.0,)"
           R"("cpuUsPerS":750000,"dialTimeoutNs":)" +
           nanoseconds(changes.dial_ms) +
           R"(,"maxLegs":4,"maxOpen":1500000,"maxRetryAfterNs":1500000000,"multiplex":1048576,)"
           R"("peers":false,"probing":true,"retryAfter":true,"secondCopies":false},)"
           R"("charges":{"connection":0.0,"crossZone":0.029,"lateFail":0.028,"moves":0.01,"probe":0.004,)"
           R"("waste":0.056},"clientHabits":{"marksRetry":false},"discovery":"push",)"
           R"("domain":{"groups":true,"messageAimNs":[60000000,150000000,150000000],"mode":"proxy",)"
           R"("parkNs":0,"tellsDelay":true,"tellsLoad":true,)"
           R"("tenantQuotaConnections":[139.0,119.0,51.0,31.0]},)"
           R"("failureDomains":["salt-lake","new-town"],"flavors":["std-4c","lite-3c"],"groupSize":2,)"
           R"("invariants":{"answerSlackNs":8000000,"askEveryNs":10000000000,"coldNs":8700000000,)"
           R"("coldShare":0.31,"drainGraceNs":3000000000,"fallMultiple":3.0,"fallNs":1000000000},)"
           R"("layers":["activation-nodes"],"realms":[{"name":"gangchil","quotaPerS":3.0,"share":0.41},)"
           R"({"name":"padma-tel","quotaPerS":3.0,"share":0.35},)"
           R"({"name":"sundari","quotaPerS":1.0,"share":0.15},)"
           R"({"name":"teesta","quotaPerS":1.0,"share":0.09}],)"
           R"("report":{"fields":[],"how":"silent"},"revenueBasis":"request","serviceType":"conn",)"
           R"("slotNo":0,"stepNs":2000000,"surplusRevenue":0.2,"tier":0,"trafficTypes":[)" +
           types + R"(],"weightSource":"rough"})";
}

/// A request of a client, as it stands in its line.
struct Request {
    std::string id;
    std::string line;
    double wait = 0;  ///< seconds
};

inline Request make_request(const TrafficType& type) {
    constexpr const char* tenants[] = {"gangchil", "padma-tel", "sundari", "teesta"};
    const std::string id = hex16(random_number());
    return {id,
            "OPEN " + id + " " + hex16(random_number()) + " c=" + type.name +
                ",t=" + tenants[random_number() % 4] + ",d=" + std::to_string(type.guard_ms) +
                ",g=" + hex16(random_number() % 40),
            type.guard_ms / 1000.0};
}

/// One of the traffic types, by about the shares that the site states.
inline const TrafficType& draw_type() {
    const uint64_t draw = random_number() % 100;
    return traffic_types[draw < 52 ? 0 : draw < 79 ? 1 : 2];
}

}  // namespace standins
