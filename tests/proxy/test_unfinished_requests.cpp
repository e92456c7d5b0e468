/// Tests with clients that stop sending in the middle of their request line and stay connected, while the
/// real processes are stopped, reloaded and replaced. Each such client must receive ERR, BUSY or a close
/// within three seconds.
#include <random>

#include "proxy/process_fixture.h"

namespace {

constexpr Duration max_answer_delay = seconds(3);
constexpr Duration max_stop = millis(150);
const std::string half_line = "OPEN 1000000000000777 2b c=ch";

/// Bytes that a client sends at a given time.
struct Step {
    Duration at;  ///< time after the connect
    std::string bytes;
};

/// Sends the bytes of its steps and then stays connected, whatever it receives.
class StalledClient {
   public:
    StalledClient(std::string name, const std::string& listen, std::vector<Step> steps, Duration wait_begins)
        : name_(std::move(name)),
          peer_(connect_peer(listen)),
          steps_(std::move(steps)),
          wait_begins_(wait_begins) {}

    void advance() {
        for (; next_ < steps_.size() && age() >= steps_[next_].at; ++next_) peer_.write(steps_[next_].bytes);
        peer_.read();
        const bool has_answer = peer_.received.find("ERR") != std::string::npos || has_busy();
        if (!is_answered() && (has_answer || peer_.is_closed())) answered_at_ = Clock::now();
    }

    bool is_answered() const { return answered_at_.has_value(); }
    bool has_busy() const { return peer_.received.find("BUSY") != std::string::npos; }
    bool is_late() const { return Clock::now() - (connected_at_ + wait_begins_) > max_answer_delay; }

    /// Describes the delay of a client whose answer is late or missing; "" if it was answered in time.
    std::string describe_late_answer() const {
        const TimePoint end = answered_at_.value_or(Clock::now());
        const Duration waited = end - (connected_at_ + wait_begins_);
        if (is_answered() && waited <= max_answer_delay) return "";
        return name_ + (is_answered() ? " was answered after " : " was not answered in ") +
               std::to_string(to_seconds(waited)) + " s\n";
    }

   private:
    Duration age() const { return Clock::now() - connected_at_; }

    std::string name_;
    Peer peer_;
    std::vector<Step> steps_;
    Duration wait_begins_;  ///< time after the connect from which the wait for the answer counts
    TimePoint connected_at_ = Clock::now();
    std::optional<TimePoint> answered_at_;
    size_t next_ = 0;
};

/// Returns a client for each way to stop in the middle of a line. The wait for the answer counts from the
/// connect for a client that begins its line soon after it, and from the beginning of the line for a client
/// that has probed for seconds.
std::vector<StalledClient> make_stalled_clients(const std::string& listen) {
    std::vector<Step> byte_by_byte;
    for (size_t k = 0; k < half_line.size(); ++k)
        byte_by_byte.push_back({millis(300) * static_cast<double>(k), half_line.substr(k, 1)});
    const std::vector<Step> probes_for_three_seconds = {{{}, "PING\r\n"},
                                                        {seconds(1), "PING\r\n"},
                                                        {seconds(2), "PING\r\n"},
                                                        {seconds(3), "PING\r\n"},
                                                        {seconds(3.1), half_line}};
    std::vector<StalledClient> clients;
    const auto add = [&](const char* name, std::vector<Step> steps, Duration wait_begins = {}) {
        clients.emplace_back(name, listen, std::move(steps), wait_begins);
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

void advance_for(Duration duration, const EventLoopFixture& loop, std::vector<StalledClient>& clients) {
    for (const TimePoint end = Clock::now() + duration; Clock::now() < end; loop.run_for(seconds(0.005)))
        for (StalledClient& client : clients) client.advance();
}

/// Runs until each client is answered or late and calls `act` meanwhile. Returns the descriptions of late
/// answers.
std::string late_answers(
    const EventLoopFixture& loop, std::vector<StalledClient>& clients,
    const std::function<void()>& act = [] {}) {
    const auto is_settled = [](const StalledClient& client) {
        return client.is_answered() || client.is_late();
    };
    while (!std::all_of(clients.begin(), clients.end(), is_settled)) {
        act();
        for (StalledClient& client : clients) client.advance();
        loop.run_for(seconds(0.005));
    }
    std::string all;
    for (const StalledClient& client : clients) all += client.describe_late_answer();
    return all;
}

/// Stops a process at random times, for up to 0.15 s each time.
class RandomStops {
   public:
    explicit RandomStops(pid_t process) : process_(process), random_(static_cast<unsigned>(process)) {}

    void advance() {
        if (Clock::now() < next_) return;
        is_stopped_ = !is_stopped_;
        kill(process_, is_stopped_ ? SIGSTOP : SIGCONT);
        const Duration max_duration = is_stopped_ ? max_stop : millis(600);
        next_ = Clock::now() + max_duration * std::uniform_real_distribution<>(0, 1)(random_);
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
    std::vector<StalledClient> clients;
    for (int k = 0; k < process_count; ++k) {
        fixtures.push_back(std::make_unique<ProcessFixture>());
        const ProcessFixture::Program program = fixtures.back()->start();
        // Two of the four processes run without stops.
        if (k % 2 == 1) stops.emplace_back(program.pid);
    }
    for (const auto& fixture : fixtures)
        for (StalledClient& client : make_stalled_clients(fixture->listen_address))
            clients.push_back(std::move(client));
    const auto advance_stops = [&] {
        for (RandomStops& process : stops) process.advance();
    };
    EXPECT_EQ(late_answers(*fixtures.front(), clients, advance_stops), "");
    // The last fixture first: its processes hold copies of the descriptors of earlier fixtures.
    while (!fixtures.empty()) fixtures.pop_back();
}

TEST(UnfinishedRequests, AreAnsweredInTimeDuringReloads) {
    ProcessFixture fixture;
    const ProcessFixture::Program program = fixture.start();
    std::vector<StalledClient> clients = make_stalled_clients(fixture.listen_address);
    advance_for(seconds(1), fixture, clients);
    for (int count = 0; count < 8; ++count) {
        kill(program.pid, SIGHUP);
        advance_for(millis(200), fixture, clients);
    }
    EXPECT_EQ(late_answers(fixture, clients), "");
}

TEST(UnfinishedRequests, AreAnsweredInTimeAfterAHotRestart) {
    ProcessFixture fixture;
    const ProcessFixture::Program old = fixture.start();
    std::vector<StalledClient> clients;
    clients.emplace_back("half a line", fixture.listen_address, std::vector<Step>{{{}, half_line}},
                         Duration{});
    clients.emplace_back("half a probe", fixture.listen_address, std::vector<Step>{{{}, "PI"}}, Duration{});
    advance_for(seconds(1), fixture, clients);
    const ProcessFixture::Program next = fixture.start();
    EXPECT_NE(old.pid, next.pid);
    EXPECT_EQ(late_answers(fixture, clients), "");
}

TEST(UnfinishedRequests, AreAnsweredInTimeDuringAShutdown) {
    ProcessFixture fixture;
    const ProcessFixture::Program program = fixture.start();
    std::vector<StalledClient> clients = make_stalled_clients(fixture.listen_address);
    advance_for(seconds(0.5), fixture, clients);
    kill(program.pid, SIGTERM);
    EXPECT_EQ(late_answers(fixture, clients), "");
}

TEST(UnfinishedRequests, AreAnsweredInTimeWhenTheyUseUpTheDescriptors) {
    ProcessFixture fixture;
    fixture.start();
    std::vector<StalledClient> clients;
    for (int count = 0; count < 300; ++count)
        clients.emplace_back("one of many", fixture.listen_address, std::vector<Step>{{{}, half_line}},
                             Duration{});
    EXPECT_EQ(late_answers(fixture, clients), "");
}

// A line within the limit must be served: it takes two seconds, and then the process is stopped for 0.15 s.
TEST(UnfinishedRequests, LineWrittenOverTwoSecondsIsServed) {
    ProcessFixture fixture;
    const ProcessFixture::Program program = fixture.start();
    Peer slow = connect_peer(fixture.listen_address);
    const std::string line = "OPEN 1000000000000778 2b c=chat,d=900\r\n";
    for (size_t k = 0; k < line.size(); ++k) {
        slow.write(line.substr(k, 1));
        fixture.run_for(seconds(2.0 / static_cast<double>(line.size())));
    }
    kill(program.pid, SIGSTOP);
    fixture.run_for(max_stop);
    kill(program.pid, SIGCONT);
    Peer server = fixture.accept_attempt();
    server.write("UP r\r\n");
    EXPECT_TRUE(fixture.receives(slow, "UP r\r\n"));
}
