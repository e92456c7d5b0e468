// A process of the program whose calls of the system fail, and whose wall clock is stepped, while it serves.
#include <cerrno>
#include <chrono>
#include <cstring>
#include <map>

#include "proxy/fake_site.h"
#include "testbed/failing_calls.h"

namespace {

using testbed::FailingCalls;
using testbed::SystemCall;

std::string built(const std::string& name) { return std::string(BUILD) + "/" + name; }

size_t open_descriptors(pid_t process) {
    size_t count = 0;
    const std::string folder = "/proc/" + std::to_string(process) + "/fd";
    for (const auto& entry : std::filesystem::directory_iterator(folder))
        count += entry.path().empty() ? 0 : 1;
    return count;
}

// Seconds of processor time that a process has used.
double cpu_seconds(pid_t process) {
    std::ifstream stat("/proc/" + std::to_string(process) + "/stat");
    std::string word;
    constexpr int user_time_field = 14;
    for (int field = 1; field < user_time_field; ++field) stat >> word;
    double user_ticks = 0, system_ticks = 0;
    stat >> user_ticks >> system_ticks;
    return (user_ticks + system_ticks) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

// A site whose program has the library of failing calls loaded.
struct FaultySite : Site {
    FailingCalls calls{folder + "/calls", 7};
    Program running;

    FaultySite() {
        executable = built("headrouter");
        environment = calls.environment(built("libheadrouter_failing_calls.so"));
        running = start();
        fcntl(server.fd.get(), F_SETFL, O_NONBLOCK);
    }

    bool is_served(Peer& client) {
        Peer at_server = taken();
        at_server.write("UP r\r\n");
        return says(client, "UP r\r\n");
    }

    bool is_answered(Peer& client) {
        return until([&] { return client.read(), client.ended || client.broke || !client.got.empty(); });
    }
};

// Whether the other side has closed the connection altogether, after its FIN: what is sent then is answered
// by RST.
bool is_closed_by_peer(const Loop& loop, const Peer& peer) {
    peer.write("more\r\n");
    loop.turn(0.05);
    return pending_error(peer.fd.get()) != 0;
}

// The wall clock of a process, as the library headrouter_clock reads it.
class WallClock {
   public:
    explicit WallClock(std::string path) : path_(std::move(path)) { step({}); }

    // In place: the process has the file mapped.
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

}  // namespace

// They got their last line and stay; two seconds later their descriptors are free again, whatever the wall
// clock says.
TEST(SystemFaults, ConnectionsThatLingerGoInTimeWhenTheWallClockIsSteppedBack) {
    Site site;
    const WallClock clock(site.folder + "/clock");
    site.executable = built("headrouter");
    site.environment = clock.environment();
    const Site::Program running = site.start();
    const size_t before = open_descriptors(running.pid);
    std::vector<Peer> clients;
    for (int count = 0; count < 6; ++count) {
        clients.push_back(dial(site.listen));
        clients.back().write("no request\r\n");
    }
    for (Peer& client : clients) EXPECT_TRUE(site.says(client, "ERR\r\n"));
    clock.step(seconds(-3600));
    site.turn(2);
    site.turn(1);
    EXPECT_LE(open_descriptors(running.pid), before);
    for (const Peer& client : clients) EXPECT_TRUE(is_closed_by_peer(site, client));
}

// Forward: they are not cut before their peers have had the time to read.
TEST(SystemFaults, ConnectionsThatLingerKeepTheirTimeWhenTheWallClockIsSteppedForward) {
    Site site;
    const WallClock clock(site.folder + "/clock");
    site.executable = built("headrouter");
    site.environment = clock.environment();
    const Site::Program running = site.start();
    Peer client = dial(site.listen);
    client.write("no request\r\n");
    EXPECT_TRUE(site.says(client, "ERR\r\n"));
    clock.step(seconds(3600));
    site.turn(0.6);
    EXPECT_FALSE(is_closed_by_peer(site, client)) << running.pid;
    clock.step({});
    site.turn(1.9);
    EXPECT_TRUE(is_closed_by_peer(site, client));
}

namespace {

// Answers the next request for the list with the whole list, whose server started at `started_at_ms`.
void tell_list(Site& site, std::vector<Peer>& agents, int64_t started_at_ms) {
    fcntl(site.agent.fd.get(), F_SETFL, O_NONBLOCK);
    const std::string body = R"({"generation":2,"reset":true,"instances":[{"instanceId":"s","hostPort":")" +
                             site.server.at + R"(","zone":"a","lifecycle":"SERVING","startedAtMs":)" +
                             std::to_string(started_at_ms) + "}]}";
    // Requests made before are given up by now; the newest connection is the one that is waited on.
    EXPECT_TRUE(site.until([&] {
        for (Peer asks; asks = site.agent.accept(), asks.fd;) agents.push_back(std::move(asks));
        if (agents.empty()) return false;
        agents.back().read();
        return agents.back().got.find("\r\n\r\n") != std::string::npos && !agents.back().ended;
    }));
    agents.back().write("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
                        body);
    agents.back().got.clear();
    site.turn(0.1);
}

int64_t unix_ms() {
    using namespace std::chrono;
    return duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count();
}

}  // namespace

// The next process reads a stepped clock; the servers that it takes over have not started anew for that.
TEST(SystemFaults, AServerDoesNotLookRestartedAcrossAHotRestartUnderASteppedClock) {
    for (const Duration step : {seconds(-3600), seconds(3600)}) {
        Site site;
        const WallClock clock(site.folder + "/clock");
        site.executable = built("headrouter");
        site.environment = clock.environment();
        const int64_t started_at_ms = unix_ms() - 500;
        std::vector<Peer> agents;
        const Site::Program old = site.start();
        tell_list(site, agents, started_at_ms);
        auto pair = site.standing();
        clock.step(step);
        const Site::Program next = site.start();
        agents.clear();
        tell_list(site, agents, started_at_ms);
        site.carries(pair, "on\r\n");
        EXPECT_EQ(pair.first.got.find("MOVE"), std::string::npos) << to_seconds(step);
        site.leaves(old.pid);
        site.carries(pair, "still on\r\n");
        EXPECT_EQ(site.ask(next, "STATUS"), "done\r\n");
    }
}

// The client waits in the queue meanwhile, and the process does not spin on it.
TEST(SystemFaults, AClientIsServedAfterAcceptHasFailedForAWhile) {
    for (const int error :
         {ECONNABORTED, EPROTO, ENETUNREACH, EHOSTUNREACH, EINTR, ENFILE, EMFILE, ENOBUFS, ENOMEM}) {
        FaultySite site;
        site.calls.fail(SystemCall::accept, error);
        const double cpu_before = cpu_seconds(site.running.pid);
        Peer client = site.client();
        site.turn(0.4);
        EXPECT_LT(cpu_seconds(site.running.pid) - cpu_before, 0.15) << std::strerror(error);
        EXPECT_GT(site.calls.injected(SystemCall::accept), 0U);
        site.calls.stop(SystemCall::accept);
        EXPECT_TRUE(site.is_served(client)) << std::strerror(error);
    }
}

// It goes on by itself: the connection comes up.
TEST(SystemFaults, AnInterruptedConnectIsNoFailure) {
    FaultySite site;
    site.calls.fail(SystemCall::connect, EINTR);
    Peer client = site.client();
    EXPECT_TRUE(site.is_served(client));
    EXPECT_GT(site.calls.injected(SystemCall::connect), 0U);
}

// What this machine is short of says nothing about the server: the next client is served at once.
TEST(SystemFaults, AServerIsNotPenalizedForWhatThisMachineLacks) {
    const std::pair<SystemCall, int> faults[] = {
        {SystemCall::socket, ENFILE},         {SystemCall::socket, EMFILE},
        {SystemCall::socket, ENOBUFS},        {SystemCall::socket, ENOMEM},
        {SystemCall::connect, EADDRNOTAVAIL}, {SystemCall::connect, ENETUNREACH},
        {SystemCall::connect, ENETDOWN},      {SystemCall::connect, EAGAIN},
        {SystemCall::connect, ENOBUFS},       {SystemCall::connect, EPERM}};
    for (const auto& [call, error] : faults) {
        FaultySite site;
        site.calls.fail(call, error);
        std::vector<Peer> clients;
        for (int count = 0; count < 8; ++count) clients.push_back(site.client());
        for (Peer& client : clients) EXPECT_TRUE(site.is_answered(client)) << std::strerror(error);
        // Two attempts a request at the most, and a few calls of discovery's.
        EXPECT_LT(site.calls.injected(call), 60U) << std::strerror(error);
        site.calls.stop(call);
        Peer next = site.client();
        EXPECT_TRUE(site.is_served(next)) << std::strerror(error);
    }
}

TEST(SystemFaults, LinesGoOnThroughInterruptedAndShortTransfers) {
    FaultySite site;
    auto pair = site.standing();
    for (const int32_t error : {EINTR, EAGAIN, testbed::short_transfer}) {
        for (const SystemCall call : {SystemCall::receive, SystemCall::send, SystemCall::wait})
            if (call != SystemCall::wait || error == EINTR) site.calls.fail(call, error, 0.5);
        for (int count = 0; count < 10; ++count) site.carries(pair, "line " + std::to_string(count) + "\r\n");
        for (const SystemCall call : {SystemCall::receive, SystemCall::send, SystemCall::wait})
            site.calls.stop(call);
    }
    for (const int32_t error : {ENOBUFS, ENOMEM}) {
        site.calls.fail(SystemCall::send, error, 0.5);
        for (int count = 0; count < 10; ++count) site.carries(pair, "more " + std::to_string(count) + "\r\n");
        site.calls.stop(SystemCall::send);
    }
    EXPECT_GT(site.calls.injected(SystemCall::receive), 0U);
    EXPECT_GT(site.calls.injected(SystemCall::send), 0U);
}

// A connection breaks with an error that is not ECONNRESET.
TEST(SystemFaults, ABrokenConnectionEndsItsClientsWhateverTheError) {
    for (const int32_t error : {ETIMEDOUT, EHOSTUNREACH, ENETUNREACH, ECONNRESET, EPIPE}) {
        FaultySite site;
        auto pair = site.standing();
        site.calls.fail(SystemCall::receive, error);
        pair.second.write("a line\r\n");
        site.turn(0.1);
        site.calls.stop(SystemCall::receive);
        EXPECT_TRUE(site.until([&] { return pair.first.read(), pair.first.ended || pair.first.broke; }))
            << std::strerror(error);
    }
}

// The queue cannot be taken in at the very end: who waits there is answered once it can.
TEST(SystemFaults, WhoWaitsInTheQueueOfAProcessThatEndsIsAnsweredAfterAcceptFailed) {
    for (const int error : {ENFILE, ENOBUFS, ENOMEM, ECONNABORTED}) {
        FaultySite site;
        site.calls.fail(SystemCall::accept, error);
        Peer client = site.client();
        site.turn(0.05);
        kill(site.running.pid, SIGTERM);
        site.turn(0.7);
        site.calls.stop(SystemCall::accept);
        EXPECT_TRUE(site.is_answered(client)) << std::strerror(error);
        EXPECT_EQ(client.got, "BUSY\r\n") << std::strerror(error);
    }
}

// One request of a client that waits for its answer.
struct WaitingClient {
    Peer peer;
    TimePoint sent_at;
    Duration wait;

    bool is_over() { return peer.read(), peer.ended || peer.broke || !peer.got.empty(); }
    bool is_late() const { return Clock::now() - sent_at > wait + millis(500); }
    bool has_one_answer() const {
        return peer.got.starts_with("UP r\r\n") || peer.got.starts_with("BUSY") || peer.got == "ERR\r\n";
    }
};

// The site's server: each request is answered at once, by its first line.
class AnsweringServer {
   public:
    explicit AnsweringServer(const Listener& listener) : listener_(listener) {}

    void advance() {
        for (Peer accepted; accepted = listener_.accept(), accepted.fd;)
            connections_.push_back(std::move(accepted));
        for (Peer& connection : connections_) {
            connection.read();
            if (connection.got.find('\n') == std::string::npos) continue;
            ++lines_[connection.got.substr(0, id_end)];
            connection.got.clear();
            connection.write("UP r\r\n");
        }
    }

    size_t requests_seen_more_than(int most) const {
        return static_cast<size_t>(std::count_if(lines_.begin(), lines_.end(),
                                                 [&](const auto& entry) { return entry.second > most; }));
    }

   private:
    static constexpr size_t id_end = sizeof "OPEN 1000000000000000" - 1;
    const Listener& listener_;
    std::vector<Peer> connections_;
    std::map<std::string, int> lines_;
};

struct Fault {
    SystemCall call;
    std::vector<int32_t> errors;
};

struct Counts {
    size_t answered = 0, lost = 0, late = 0, too_often = 0;
};

using Sites = std::vector<std::unique_ptr<FaultySite>>;

// Of each site ten clients ask at once, one of them with 20 ms left.
Counts play_round(const Sites& sites) {
    std::vector<WaitingClient> clients;
    std::vector<AnsweringServer> servers;
    for (const auto& site : sites) {
        servers.emplace_back(site->server);
        for (int count = 0; count < 10; ++count) {
            const int wait_ms = count == 0 ? 20 : 900;
            Peer peer = dial(site->listen);
            peer.write("OPEN " + std::to_string(++site->last_id) + " 2b c=chat,d=" + std::to_string(wait_ms) +
                       "\r\n");
            clients.push_back({std::move(peer), Clock::now(), millis(wait_ms)});
        }
    }
    sites.front()->until([&] {
        for (AnsweringServer& server : servers) server.advance();
        return std::all_of(clients.begin(), clients.end(),
                           [](WaitingClient& client) { return client.is_over() || client.is_late(); });
    });
    Counts counts;
    for (WaitingClient& client : clients) {
        counts.late += !client.is_over();
        counts.lost += client.is_over() && !client.has_one_answer();
        counts.answered += client.has_one_answer();
    }
    constexpr int max_attempts = 2;
    for (const AnsweringServer& server : servers)
        counts.too_often += server.requests_seen_more_than(max_attempts);
    return counts;
}

Sites several_sites() {
    Sites sites;
    for (int count = 0; count < 4; ++count) sites.push_back(std::make_unique<FaultySite>());
    return sites;
}

// The last one first: a later site's processes hold copies of an earlier one's descriptors.
void end(Sites& sites) {
    while (!sites.empty()) sites.pop_back();
}

// Several processes, each kind of fault in turn and then all together, at random.
TEST(SystemFaults, EachRequestHasItsAnswerUnderAllKindsOfFaultsTogether) {
    const Fault faults[] = {
        {SystemCall::accept, {ECONNABORTED, ENFILE, ENOBUFS, ENOMEM, EINTR, EPROTO, ENETDOWN}},
        {SystemCall::socket, {ENFILE, EMFILE, ENOBUFS, ENOMEM}},
        {SystemCall::connect, {EINTR, EADDRNOTAVAIL, ENETUNREACH, EAGAIN, ECONNREFUSED, ETIMEDOUT}},
        {SystemCall::receive, {EINTR, EAGAIN, ENOMEM, testbed::short_transfer}},
        {SystemCall::send, {EINTR, EAGAIN, ENOBUFS, ENOMEM, testbed::short_transfer}},
        {SystemCall::wait, {EINTR}}};
    constexpr size_t kinds = std::size(faults);
    constexpr size_t rounds = kinds + 6;
    Sites sites = several_sites();
    for (size_t round = 0; round < rounds; ++round) {
        for (size_t kind = 0; kind < kinds; ++kind) {
            const Fault& fault = faults[kind];
            const bool strikes = kind == round || round >= kinds;
            const int32_t error = fault.errors[round % fault.errors.size()];
            for (const auto& site : sites) site->calls.fail(fault.call, error, strikes ? 0.3 : 0);
        }
        const Counts counts = play_round(sites);
        EXPECT_EQ(counts.late, 0U) << "round " << round;
        EXPECT_EQ(counts.lost, 0U) << "round " << round;
        EXPECT_EQ(counts.too_often, 0U) << "round " << round;
        EXPECT_EQ(counts.answered, sites.size() * 10) << "round " << round;
    }
    for (const Fault& fault : faults) EXPECT_GT(sites.front()->calls.injected(fault.call), 0U);
    for (const auto& site : sites) EXPECT_EQ(site->ask(site->running, "STATUS").substr(0, 4), "done");
    end(sites);
}

// Sound connections of clients that the process is told have broken: their requests count as lost.
TEST(SystemFaults, TheCountFindsRequestsThatAreLost) {
    Sites sites = several_sites();
    for (const auto& site : sites) site->calls.fail(SystemCall::receive, ECONNRESET);
    EXPECT_GT(play_round(sites).lost, 0U);
    end(sites);
}

// Without its table, or with one of another size, the library refuses.
TEST(SystemFaults, TheLibraryRefusesATableThatIsNone) {
    Site site;
    site.executable = built("headrouter");
    std::ofstream(site.folder + "/short") << "short";
    for (const char* name : {"/nowhere", "/short"}) {
        site.environment = {{"LD_PRELOAD", built("libheadrouter_failing_calls.so")},
                            {testbed::failing_calls_variable, site.folder + name}};
        int status = -1;
        EXPECT_TRUE(site.exits(site.launch().pid, status));
        EXPECT_TRUE(WIFEXITED(status));
        EXPECT_EQ(WEXITSTATUS(status), 2);
    }
}

TEST(SystemFaults, TheLibrariesAreThere) {
    for (const char* name : {"libheadrouter_failing_calls.so", "libheadrouter_clock.so", "headrouter"})
        EXPECT_EQ(access(built(name).c_str(), R_OK), 0) << built(name) << " was not built";
}
