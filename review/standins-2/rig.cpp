#include "rig.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <random>

namespace rig {

namespace {

std::unique_ptr<Record> the_record;
constexpr double forever = 1e17;
std::mutex balancers_mutex;
std::vector<Balancer*> balancers;

sockaddr_in parse(const std::string& address) {
    sockaddr_in result{};
    const size_t colon = address.find(':');
    result.sin_family = AF_INET;
    result.sin_port = htons(static_cast<uint16_t>(std::stoi(address.substr(colon + 1))));
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &result.sin_addr);
    return result;
}

/// A loopback address of this run alone: no connection that some other program makes can hold one of its
/// ports, as connections on loopback come from 127.0.0.1.
std::string own_host() {
    const int number = getpid();
    return "127." + std::to_string(100 + number / 62500 % 100) + "." +
           std::to_string(1 + number / 250 % 250) + "." + std::to_string(1 + number % 250);
}

/// Binds to `address`, or to a free port if it is empty.
int bind_to(std::string& address) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in bound = parse(address.empty() ? own_host() + ":0" : address);
    socklen_t size = sizeof bound;
    if (bind(fd, reinterpret_cast<sockaddr*>(&bound), size) != 0 ||
        getsockname(fd, reinterpret_cast<sockaddr*>(&bound), &size) != 0) {
        std::perror("bind");
        std::exit(2);
    }
    address = own_host() + ":" + std::to_string(ntohs(bound.sin_port));
    return fd;
}

int milliseconds_until(double until) {
    return static_cast<int>(std::clamp((until - now()) * 1000 + 1, 0.0, 60'000.0));
}

std::string to_json(const Roster::Entry& entry) {
    std::string json = R"({"instanceId":")" + entry.id + R"(","hostPort":")" + entry.address +
                       R"(","zone":")" + entry.zone + R"(","machineType":"new-box","cell":)" +
                       std::to_string(entry.cell);
    json += R"(,"lifecycle":")" + entry.lifecycle + R"(","weight":1.0,"startedAtMs":)";
    return json + std::to_string(entry.started_at_ms) + "}";
}

}  // namespace

double now() {
    static const auto start = std::chrono::steady_clock::now();
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
}

void sleep_until(double at) {
    const double left = at - now();
    if (left > 0) std::this_thread::sleep_for(std::chrono::duration<double>(left));
}

int64_t unix_ms() {
    using std::chrono::milliseconds;
    const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<milliseconds>(since_epoch).count();
}

void Record::add(const std::string& line) {
    const std::scoped_lock lock(mutex_);
    char time[32];
    std::snprintf(time, sizeof time, "%8.3f ", now());
    out_ << time << line << "\n" << std::flush;
}

Record& record() { return *the_record; }
void open_record(const std::string& path) { the_record = std::make_unique<Record>(path); }

// ---- streams ----

Stream::~Stream() { close(); }

void Stream::close() {
    if (fd_ >= 0) ::close(fd_);
    fd_ = -1;
}

void Stream::reset() {
    const linger none{1, 0};
    setsockopt(fd_, SOL_SOCKET, SO_LINGER, &none, sizeof none);
    close();
}

bool Stream::write(const std::string& bytes) const {
    return send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(bytes.size());
}

Stream::Got Stream::fill(double until) {
    if (fd_ < 0) return Got::end;
    pollfd entry{fd_, POLLIN, 0};
    if (poll(&entry, 1, milliseconds_until(until)) <= 0) return Got::late;
    char bytes[4096];
    const ssize_t count = recv(fd_, bytes, sizeof bytes, 0);
    if (count < 0) return Got::reset;
    if (count == 0) return Got::end;
    input_.append(bytes, static_cast<size_t>(count));
    return Got::line;
}

Stream::Got Stream::read_line(std::string& line, double until, double* first_byte) {
    bool has_begun = !input_.empty();
    if (has_begun && first_byte) *first_byte = now();
    for (;;) {
        const size_t end = input_.find('\n');
        if (end != std::string::npos) {
            line = input_.substr(0, end);
            if (line.ends_with('\r')) line.pop_back();
            input_.erase(0, end + 1);
            return Got::line;
        }
        const Got got = fill(until);
        if (got != Got::line) return got;
        if (!has_begun && first_byte) *first_byte = now();
        has_begun = true;
    }
}

Stream::Got Stream::wait_for_end(double until) {
    for (;;) {
        const Got got = fill(until);
        if (got != Got::line) return got;
        input_.clear();
    }
}

Listener::Listener(Handler handler) : handler_(std::move(handler)) { listen_at(bind_to(address_)); }

void Listener::stop_listening() { shutdown(fd_, SHUT_RDWR); }

void Listener::listen_again() { listen_at(bind_to(address_)); }

// The process ends with `_exit`, so these threads need not be joined.
void Listener::listen_at(int listening) {
    fd_ = listening;
    listen(listening, 512);
    std::thread([this, listening] {
        for (;;) {
            const int fd = accept4(listening, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0 && (errno == EINTR || errno == ECONNABORTED)) continue;
            if (fd < 0) break;
            const int on = 1;
            setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            const int number = ++accepted_;
            std::thread([this, fd, number] {
                Stream stream(fd);
                handler_(stream, number);
            }).detach();
        }
        ::close(listening);
    }).detach();
}

std::string free_address() {
    std::string address;
    ::close(bind_to(address));
    return address;
}

int connect_to(const std::string& address, double until) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const sockaddr_in peer = parse(address);
    if (connect(fd, reinterpret_cast<const sockaddr*>(&peer), sizeof peer) != 0) {
        pollfd entry{fd, POLLOUT, 0};
        int error = errno;
        socklen_t size = sizeof error;
        const bool is_up = error == EINPROGRESS && poll(&entry, 1, milliseconds_until(until)) > 0 &&
                           getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) == 0 && error == 0;
        if (!is_up) {
            ::close(fd);
            return -1;
        }
    }
    fcntl(fd, F_SETFL, 0);
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return fd;
}

// ---- discovery ----

void Roster::add(Entry entry) {
    const std::scoped_lock lock(mutex_);
    entries_[entry.id] = std::move(entry);
}

void Roster::set_lifecycle(const std::string& id, const std::string& lifecycle) {
    const std::scoped_lock lock(mutex_);
    entries_.at(id).lifecycle = lifecycle;
    entries_.at(id).changed_in = ++version_;
    record().add("discovery has " + id + " " + lifecycle);
    changed_.notify_all();
}

void Roster::replace(const Entry& entry) {
    const std::scoped_lock lock(mutex_);
    entries_[entry.id] = entry;
    entries_[entry.id].changed_in = ++version_;
    record().add("discovery has " + to_json(entry));
    changed_.notify_all();
}

std::string Roster::answer(int64_t since, double until) {
    std::unique_lock lock(mutex_);
    const bool is_whole = since < 0;
    while (!is_whole && version_ <= since && now() < until)
        changed_.wait_for(lock, std::chrono::duration<double>(std::max(0.001, until - now())));
    std::string instances;
    for (const auto& [id, entry] : entries_) {
        const bool is_wanted = is_whole ? entry.lifecycle != "DELETED" : entry.changed_in > since;
        if (is_wanted) instances += (instances.empty() ? "" : ",") + to_json(entry);
    }
    return R"({"generation":)" + std::to_string(version_) + R"(,"reset":)" + (is_whole ? "true" : "false") +
           R"(,"instances":[)" + instances + "]}";
}

Discovery::Discovery(Roster& roster) : roster_(roster) {
    listener_ = std::make_unique<Listener>([this](Stream& stream, int number) { serve(stream, number); });
}

void Discovery::retire(double at) {
    closes_at_ = at;
    listener_->stop_listening();
}

void Discovery::go_down() {
    record().add("discovery at " + address() + " is down");
    listener_->stop_listening();
    break_connections();
}

void Discovery::come_back() {
    record().add("discovery at " + address() + " is back");
    listener_->listen_again();
}

void Discovery::serve(Stream& stream, int number) {
    accepted_ = std::max(accepted_.load(), number);
    std::string line;
    for (;;) {
        std::string target;
        for (;;) {
            const Stream::Got got = stream.read_line(line, std::min(now() + 0.05, forever));
            if (now() >= closes_at_) return;
            if (number <= broken_through_) {
                stream.reset();
                return;
            }
            if (got == Stream::Got::late) continue;
            if (got != Stream::Got::line) return;
            if (line.starts_with("GET ")) target = line.substr(4, line.find(' ', 4) - 4);
            if (line.empty()) break;
        }
        if (is_silent) {
            stream.wait_for_end(forever);
            return;
        }
        if (number >= first_turned_away) {
            record().add("discovery turns a caller away");
            stream.write("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
            continue;
        }
        sleep_until(now() + queue_time);
        int64_t since = -1;
        double wait = 0;
        if (const size_t at = target.find("since="); at != std::string::npos)
            since = std::stoll(target.substr(at + 6));
        if (const size_t at = target.find("timeout_ms="); at != std::string::npos)
            wait = std::stod(target.substr(at + 11)) / 1000;
        const std::string body =
            roster_.answer(since, std::min(now() + std::min(wait, 60.0), closes_at_.load()));
        if (now() >= closes_at_) return;
        if (number <= broken_through_) {
            stream.reset();
            return;
        }
        if (is_silent) {
            stream.wait_for_end(forever);
            return;
        }
        stream.write("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " +
                     std::to_string(body.size()) + "\r\n\r\n" + body);
    }
}

// ---- servers ----

Server::Server(std::string id, std::function<void(const Arrival&)> on_arrival)
    : id_(std::move(id)), on_arrival_(std::move(on_arrival)) {
    listener_ = std::make_unique<Listener>([this](Stream& stream, int) { serve(stream); });
}

void Server::serve(Stream& stream) {
    std::string line;
    Arrival arrival{.server = id_};
    if (stream.read_line(line, now() + 30, &arrival.first_byte) != Stream::Got::line) return;
    arrival.wire_id = line.substr(std::min<size_t>(5, line.size()), 16);
    if (!line.starts_with("OPEN ")) {
        record().add("server " + id_ + " cannot read: " + line);
        stream.write("SYNTAX\r\n");
        return;
    }
    arrival.ran = manner == Manner::serve;
    on_arrival_(arrival);
    if (!arrival.ran) {
        stream.write("BUSY\r\n");
        stream.wait_for_end(now() + 2);
        return;
    }
    if (!stream.write("UP " + random_hex(16) + "\r\n")) return;
    while (stream.read_line(line, forever) == Stream::Got::line)
        if (!stream.write(line + "\r\n")) return;
}

// ---- balancers ----

Balancer::Balancer(std::string name, std::string folder, std::string run)
    : name_(std::move(name)), folder_(std::move(folder)), run_(std::move(run)), address_(free_address()) {
    const std::scoped_lock lock(balancers_mutex);
    balancers.push_back(this);
}

void end_balancers() {
    const std::scoped_lock lock(balancers_mutex);
    for (Balancer* balancer : balancers)
        if (balancer->is_running()) balancer->wait_for_end(now());
}

void Balancer::write_configuration(const Settings& settings) const {
    const std::string next = configuration_path() + ".next";
    std::ofstream(next) << R"({"name":")" << name_ << R"(","listen":")" << address_ << R"(","discovery":")"
                        << settings.discovery << R"(","seed":")" << random_hex(16)
                        << R"(","limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"known":)"
                        << settings.known << R"(,"settings":)" << settings.settings << "}\n";
    std::rename(next.c_str(), configuration_path().c_str());
}

void Balancer::start(const Settings& settings) {
    write_configuration(settings);
    const std::string temporary = folder_ + "/" + name_ + "-" + std::to_string(++starts_);
    const std::string log = temporary + ".log";
    std::filesystem::create_directories(temporary);
    const char* const path = getenv("PATH");
    std::vector<std::string> environment = {
        "PROXY_NAME=" + name_,
        "PROXY_LISTEN=" + address_,
        "PROXY_DISCOVERY=" + settings.discovery,
        "PROXY_CONFIG=" + configuration_path(),
        "TMPDIR=" + temporary,
        path == nullptr ? "PATH=/usr/bin:/bin" : "PATH=" + std::string(path)};
    std::vector<char*> variables;
    for (std::string& variable : environment) variables.push_back(variable.data());
    variables.push_back(nullptr);
    std::vector<std::string> words = {"sh", "-c", run_};
    std::vector<char*> arguments = {words[0].data(), words[1].data(), words[2].data(), nullptr};
    const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    pid_ = fork();
    if (pid_ == 0) {  // from the root of the repository, as the deploy file wants it
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        dup2(out, 1);
        dup2(out, 2);
        execve("/bin/sh", arguments.data(), variables.data());
        _exit(2);
    }
    ::close(out);
    record().add("balancer " + name_ + " starts at " + address_);
}

bool Balancer::wait_until_ready(double until) const {
    while (now() < until) {
        const int fd = connect_to(address_, until);
        if (fd >= 0) {
            Stream stream(fd);
            std::string line;
            stream.write("PING\r\n");
            if (stream.read_line(line, now() + 1) == Stream::Got::line && line == "PONG") {
                record().add("balancer " + name_ + " is ready");
                return true;
            }
        }
        sleep_until(now() + 0.02);
    }
    record().add("balancer " + name_ + " is not ready");
    return false;
}

void Balancer::signal(int number) const {
    record().add("balancer " + name_ + " gets signal " + std::to_string(number));
    kill(pid_, number);
}

bool Balancer::wait_for_end(double until) {
    for (;;) {
        if (waitpid(pid_, nullptr, WNOHANG) == pid_) break;
        if (now() >= until) {
            kill(pid_, SIGKILL);
            waitpid(pid_, nullptr, 0);
            pid_ = -1;
            return false;
        }
        sleep_until(now() + 0.01);
    }
    pid_ = -1;
    return true;
}

bool Balancer::is_running() {
    if (pid_ <= 0) return false;
    if (waitpid(pid_, nullptr, WNOHANG) != pid_) return true;
    pid_ = -1;
    return false;
}

// ---- clients ----

std::string random_hex(int digits) {
    static std::mutex mutex;
    static std::mt19937_64 generator(std::random_device{}());
    const std::scoped_lock lock(mutex);
    std::string hex;
    while (static_cast<int>(hex.size()) < digits) hex += "0123456789abcdef"[generator() % 16];
    return hex;
}

ClientResult run_client(const ClientPlan& plan) {
    ClientResult result{.wire_id = plan.wire_id};
    const double wait = plan.wait_ms / 1000.0;
    const int fd = connect_to(plan.balancer, now() + wait);
    if (fd < 0) {
        result.refused = true;
        return result;
    }
    Stream stream(fd);
    stream.write("OPEN " + plan.wire_id + " " + random_hex(16) + " c=" + plan.request_class +
                 (plan.tenant.empty() ? "" : ",t=" + plan.tenant) + ",d=" + std::to_string(plan.wait_ms) +
                 ",g=" + random_hex(16) + "\r\n");
    // The rules allow half a second and 50 ms after the client's time.
    if (stream.read_line(result.answer, now() + wait + 0.55) != Stream::Got::line) result.answer.clear();
    if (!result.answer.starts_with("UP ")) return result;
    std::string line;
    const double end = now() + plan.holds_for;
    for (int count = 0; now() < end; ++count) {
        if (!stream.write("line " + std::to_string(count) + "\r\n")) break;
        const Stream::Got got = stream.read_line(line, std::min(end, now() + 2));
        if (got != Stream::Got::line || line == "MOVE") break;
        sleep_until(std::min(end, now() + 2));
    }
    return result;
}

Traffic::Traffic(double per_second, std::function<std::vector<std::string>()> targets,
                 std::function<ClientPlan()> plan)
    : per_second_(per_second), targets_(std::move(targets)), plan_(std::move(plan)) {
    thread_ = std::thread([this] { run(); });
}

Traffic::~Traffic() { stop(); }

void Traffic::stop() {
    stops_ = true;
    if (thread_.joinable()) thread_.join();
    for (std::thread& client : clients_) client.join();
    clients_.clear();
}

std::map<std::string, int> Traffic::answers() {
    const std::scoped_lock lock(mutex_);
    return answers_;
}

void Traffic::run() {
    const double start = now();
    for (int count = 0; !stops_; ++count) {
        sleep_until(start + count / per_second_);
        const std::vector<std::string> targets = targets_();
        if (targets.empty()) continue;
        ClientPlan plan = plan_();
        plan.balancer = targets[static_cast<size_t>(count) % targets.size()];
        plan.wire_id = random_hex(16);
        clients_.emplace_back([this, plan] {
            const double sent = now();
            const ClientResult result = run_client(plan);
            const std::string answer = result.refused ? "refused" : result.answer.substr(0, 4);
            char when[32];
            std::snprintf(when, sizeof when, "%.3f", sent);
            record().add("client " + plan.wire_id + " sent at " + when + " to " + plan.balancer + " got '" +
                         (result.refused ? "no connection" : result.answer) + "'");
            const std::scoped_lock lock(mutex_);
            ++answers_[answer.substr(0, answer.find(' '))];
        });
    }
}

}  // namespace rig
