/// Clients that stop in the middle of their request line and stay, with real processes that are stopped,
/// reloaded and replaced meanwhile. Each such client is owed ERR, BUSY or a close within three seconds.
#include <random>

#include "proxy/process_fixture.h"

namespace {

constexpr Duration owed_within = seconds(3);
constexpr Duration longest_stop = millis(150);
const std::string half_line = "OPEN 1000000000000777 2b c=ch";

struct Step {
    Duration at;  ///< after the connect
    std::string bytes;
};

/// Sends its steps and then stays, whatever it receives.
class StoppingClient {
   public:
    StoppingClient(std::string name, const std::string& listen, std::vector<Step> steps, Duration owed_from)
        : name_(std::move(name)),
          peer_(connect_peer(listen)),
          steps_(std::move(steps)),
          owed_from_(owed_from) {}

    void advance() {
        for (; next_ < steps_.size() && age() >= steps_[next_].at; ++next_) peer_.write(steps_[next_].bytes);
        peer_.read();
        const bool has_answer = peer_.received.find("ERR") != std::string::npos || has_busy();
        if (!is_answered() && (has_answer || peer_.is_closed())) answered_at_ = Clock::now();
    }

    bool is_answered() const { return answered_at_.has_value(); }
    bool has_busy() const { return peer_.received.find("BUSY") != std::string::npos; }
    bool is_late() const { return Clock::now() - (connected_at_ + owed_from_) > owed_within; }

    /// Describes a client that has waited for too long; "" for one that has not.
    std::string complaint() const {
        const TimePoint end = answered_at_.value_or(Clock::now());
        const Duration waited = end - (connected_at_ + owed_from_);
        if (is_answered() && waited <= owed_within) return "";
        return name_ + (is_answered() ? " was answered after " : " was not answered in ") +
               std::to_string(to_seconds(waited)) + " s\n";
    }

   private:
    Duration age() const { return Clock::now() - connected_at_; }

    std::string name_;
    Peer peer_;
    std::vector<Step> steps_;
    Duration owed_from_;  ///< after the connect
    TimePoint connected_at_ = Clock::now();
    std::optional<TimePoint> answered_at_;
    size_t next_ = 0;
};

/// Every way to stop in the middle. A client that begins its line soon after the connect is owed its answer
/// from the connect on, one that has probed for seconds from the beginning of its line.
std::vector<StoppingClient> all_ways_to_stop(const std::string& listen) {
    std::vector<Step> byte_by_byte;
    for (size_t k = 0; k < half_line.size(); ++k)
        byte_by_byte.push_back({millis(300) * static_cast<double>(k), half_line.substr(k, 1)});
    const std::vector<Step> probes_for_three_seconds = {{{}, "PING\r\n"},
                                                        {seconds(1), "PING\r\n"},
                                                        {seconds(2), "PING\r\n"},
                                                        {seconds(3), "PING\r\n"},
                                                        {seconds(3.1), half_line}};
    std::vector<StoppingClient> clients;
    const auto add = [&](const char* name, std::vector<Step> steps, Duration owed_from = {}) {
        clients.emplace_back(name, listen, std::move(steps), owed_from);
    };
    add("half a line at once", {{{}, half_line}});
    add("half a line after a second", {{seconds(1), half_line}});
    add("a line but for its last byte", {{{}, half_line + "at,d=900\r"}});
    add("half a probe", {{{}, "PI"}});
    add("a byte each 0.3 s", byte_by_byte);
    add("a probe and half a line at once", {{{}, "PING\r\n" + half_line}});
    add("a probe, half a line 0.1 s later", {{{}, "PING\r\n"}, {millis(100), half_line}});
    add("a probe, half a line 1.5 s later", {{{}, "PING\r\n"}, {seconds(1.5), half_line}});
    add("a probe written over 1.5 s and half a line", {{{}, "PIN"}, {seconds(1.5), "G\r\n" + half_line}});
    add("STATS, half a line", {{{}, "STATS\r\n"}, {millis(100), half_line}});
    add("probes for three seconds, half a line", probes_for_three_seconds, seconds(3.1));
    return clients;
}

void advance_for(Duration duration, const EventLoopFixture& loop, std::vector<StoppingClient>& clients) {
    for (const TimePoint end = Clock::now() + duration; Clock::now() < end; loop.run_for(seconds(0.005)))
        for (StoppingClient& client : clients) client.advance();
}

/// Runs until all are answered or late and calls `act` meanwhile. Returns the complaints of all.
std::string complaints(
    const EventLoopFixture& loop, std::vector<StoppingClient>& clients,
    const std::function<void()>& act = [] {}) {
    const auto is_settled = [](const StoppingClient& client) {
        return client.is_answered() || client.is_late();
    };
    while (!std::all_of(clients.begin(), clients.end(), is_settled)) {
        act();
        for (StoppingClient& client : clients) client.advance();
        loop.run_for(seconds(0.005));
    }
    std::string all;
    for (const StoppingClient& client : clients) all += client.complaint();
    return all;
}

/// Stops a process for up to 0.15 s at random moments.
class RandomStops {
   public:
    explicit RandomStops(pid_t process) : process_(process), random_(static_cast<unsigned>(process)) {}

    void advance() {
        if (Clock::now() < next_) return;
        is_stopped_ = !is_stopped_;
        kill(process_, is_stopped_ ? SIGSTOP : SIGCONT);
        const Duration longest = is_stopped_ ? longest_stop : millis(600);
        next_ = Clock::now() + longest * std::uniform_real_distribution<>(0, 1)(random_);
    }

   private:
    pid_t process_;
    std::mt19937 random_;
    TimePoint next_ = Clock::now();
    bool is_stopped_ = false;
};

}  // namespace

TEST(UnfinishedRequests, AreAnsweredWithinThreeSecondsByEachOfSeveralProcesses) {
    constexpr int process_count = 4;
    std::vector<std::unique_ptr<ProcessFixture>> fixtures;
    std::vector<RandomStops> stops;
    std::vector<StoppingClient> clients;
    for (int k = 0; k < process_count; ++k) {
        fixtures.push_back(std::make_unique<ProcessFixture>());
        const ProcessFixture::Program program = fixtures.back()->start();
        // Two run undisturbed.
        if (k % 2 == 1) stops.emplace_back(program.pid);
    }
    for (const auto& fixture : fixtures)
        for (StoppingClient& client : all_ways_to_stop(fixture->listen_address))
            clients.push_back(std::move(client));
    const auto advance_stops = [&] {
        for (RandomStops& process : stops) process.advance();
    };
    EXPECT_EQ(complaints(*fixtures.front(), clients, advance_stops), "");
    // The last one first: a later fixture's processes hold copies of an earlier one's descriptors.
    while (!fixtures.empty()) fixtures.pop_back();
}

TEST(UnfinishedRequests, AreAnsweredInTimeDuringReloads) {
    ProcessFixture fixture;
    const ProcessFixture::Program program = fixture.start();
    std::vector<StoppingClient> clients = all_ways_to_stop(fixture.listen_address);
    advance_for(seconds(1), fixture, clients);
    for (int count = 0; count < 8; ++count) {
        kill(program.pid, SIGHUP);
        advance_for(millis(200), fixture, clients);
    }
    EXPECT_EQ(complaints(fixture, clients), "");
}

TEST(UnfinishedRequests, AreAnsweredInTimeAfterAHotRestart) {
    ProcessFixture fixture;
    const ProcessFixture::Program old = fixture.start();
    std::vector<StoppingClient> clients;
    clients.emplace_back("half a line", fixture.listen_address, std::vector<Step>{{{}, half_line}},
                         Duration{});
    clients.emplace_back("half a probe", fixture.listen_address, std::vector<Step>{{{}, "PI"}}, Duration{});
    advance_for(seconds(1), fixture, clients);
    const ProcessFixture::Program next = fixture.start();
    EXPECT_NE(old.pid, next.pid);
    EXPECT_EQ(complaints(fixture, clients), "");
}

TEST(UnfinishedRequests, AreAnsweredInTimeDuringAShutdown) {
    ProcessFixture fixture;
    const ProcessFixture::Program program = fixture.start();
    std::vector<StoppingClient> clients = all_ways_to_stop(fixture.listen_address);
    advance_for(seconds(0.5), fixture, clients);
    kill(program.pid, SIGTERM);
    EXPECT_EQ(complaints(fixture, clients), "");
}

TEST(UnfinishedRequests, AreAnsweredInTimeWhenTheyUseUpTheDescriptors) {
    ProcessFixture fixture;
    fixture.start();
    std::vector<StoppingClient> clients;
    for (int count = 0; count < 300; ++count)
        clients.emplace_back("one of many", fixture.listen_address, std::vector<Step>{{{}, half_line}},
                             Duration{});
    EXPECT_EQ(complaints(fixture, clients), "");
}

// The other side of the limit: a line that takes two seconds, and a stop of the process, is served.
TEST(UnfinishedRequests, ALineWrittenOverTwoSecondsIsServed) {
    ProcessFixture fixture;
    const ProcessFixture::Program program = fixture.start();
    Peer slow = connect_peer(fixture.listen_address);
    const std::string line = "OPEN 1000000000000778 2b c=chat,d=900\r\n";
    for (size_t k = 0; k < line.size(); ++k) {
        slow.write(line.substr(k, 1));
        fixture.run_for(seconds(2.0 / static_cast<double>(line.size())));
    }
    kill(program.pid, SIGSTOP);
    fixture.run_for(longest_stop);
    kill(program.pid, SIGCONT);
    Peer server = fixture.accept_attempt();
    server.write("UP r\r\n");
    EXPECT_TRUE(fixture.receives(slow, "UP r\r\n"));
}
