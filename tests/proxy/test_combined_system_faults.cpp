/// Tests that several processes answer each request while their system calls fail at random.
#include <algorithm>
#include <map>

#include "proxy/faulty_process_fixture.h"

namespace {

/// A client that waits for the answer to its request.
struct WaitingClient {
    Peer peer;
    TimePoint sent_at;
    Duration deadline;

    bool has_ended() {
        peer.read();
        return peer.is_closed() || !peer.received.empty();
    }
    bool is_late() const { return Clock::now() - sent_at > deadline + millis(500); }
    bool has_one_answer() const {
        return peer.received.starts_with("UP r\r\n") || peer.received.starts_with("BUSY") ||
               peer.received == "ERR\r\n";
    }
};

/// Plays the fixture's server: answers each request at once and counts the attempts of each.
class AnsweringServer {
   public:
    explicit AnsweringServer(const Listener& listener) : listener_(listener) {}

    void advance() {
        while (std::optional<Peer> accepted = listener_.try_accept())
            connections_.push_back(std::move(*accepted));
        for (Peer& connection : connections_) {
            connection.read();
            if (connection.received.find('\n') == std::string::npos) continue;
            ++lines_[connection.received.substr(0, id_end)];
            connection.received.clear();
            connection.write("UP r\r\n");
        }
    }

    size_t requests_seen_more_often_than(int max_attempts) const {
        return static_cast<size_t>(std::count_if(
            lines_.begin(), lines_.end(), [&](const auto& entry) { return entry.second > max_attempts; }));
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
    size_t answered = 0;
    size_t lost = 0;
    size_t late = 0;
    size_t sent_too_often = 0;
};

using Fixtures = std::vector<std::unique_ptr<FaultyProcessFixture>>;

/// Sends ten requests at once to each process, one of them with a deadline of 20 ms, and counts the outcomes.
Counts run_round(const Fixtures& fixtures) {
    std::vector<WaitingClient> clients;
    std::vector<AnsweringServer> servers;
    for (const auto& fixture : fixtures) {
        servers.emplace_back(fixture->server_listener);
        for (int count = 0; count < 10; ++count) {
            const int deadline_ms = count == 0 ? 20 : 900;
            Peer peer = connect_peer(fixture->listen_address);
            peer.write("OPEN " + std::to_string(++fixture->last_id) +
                       " 2b c=chat,d=" + std::to_string(deadline_ms) + "\r\n");
            clients.push_back({std::move(peer), Clock::now(), millis(deadline_ms)});
        }
    }
    fixtures.front()->run_until([&] {
        for (AnsweringServer& server : servers) server.advance();
        return std::all_of(clients.begin(), clients.end(),
                           [](WaitingClient& client) { return client.has_ended() || client.is_late(); });
    });
    Counts counts;
    for (WaitingClient& client : clients) {
        counts.late += !client.has_ended();
        counts.lost += client.has_ended() && !client.has_one_answer();
        counts.answered += client.has_one_answer();
    }
    constexpr int max_attempts = 2;
    for (const AnsweringServer& server : servers)
        counts.sent_too_often += server.requests_seen_more_often_than(max_attempts);
    return counts;
}

Fixtures start_four_processes() {
    Fixtures fixtures;
    for (int count = 0; count < 4; ++count) fixtures.push_back(std::make_unique<FaultyProcessFixture>());
    return fixtures;
}

/// Stops the processes, the last one first: a later process holds copies of an earlier one's descriptors.
void end(Fixtures& fixtures) {
    while (!fixtures.empty()) fixtures.pop_back();
}

}  // namespace

// Guards against requests that are lost, late or sent more often than allowed: first under each kind of fault
// alone, then under all kinds together, each call failing at random.
TEST(CombinedSystemFaults, AnswersEachRequestUnderAllKindsOfFaults) {
    const Fault faults[] = {
        {SystemCall::accept, {ECONNABORTED, ENFILE, ENOBUFS, ENOMEM, EINTR, EPROTO, ENETDOWN}},
        {SystemCall::socket, {ENFILE, EMFILE, ENOBUFS, ENOMEM}},
        {SystemCall::connect, {EINTR, EADDRNOTAVAIL, ENETUNREACH, EAGAIN, ECONNREFUSED, ETIMEDOUT}},
        {SystemCall::receive, {EINTR, EAGAIN, ENOMEM, testbed::short_transfer}},
        {SystemCall::send, {EINTR, EAGAIN, ENOBUFS, ENOMEM, testbed::short_transfer}},
        {SystemCall::wait, {EINTR}}};
    constexpr size_t fault_kinds = std::size(faults);
    constexpr size_t rounds = fault_kinds + 6;
    Fixtures fixtures = start_four_processes();
    for (size_t round = 0; round < rounds; ++round) {
        for (size_t kind = 0; kind < fault_kinds; ++kind) {
            const Fault& fault = faults[kind];
            const bool is_active = kind == round || round >= fault_kinds;
            const int32_t error = fault.errors[round % fault.errors.size()];
            for (const auto& fixture : fixtures) fixture->calls.fail(fault.call, error, is_active ? 0.3 : 0);
        }
        const Counts counts = run_round(fixtures);
        EXPECT_EQ(counts.late, 0U) << "round " << round;
        EXPECT_EQ(counts.lost, 0U) << "round " << round;
        EXPECT_EQ(counts.sent_too_often, 0U) << "round " << round;
        EXPECT_EQ(counts.answered, fixtures.size() * 10) << "round " << round;
    }
    for (const Fault& fault : faults) EXPECT_GT(fixtures.front()->calls.injected(fault.call), 0U);
    for (const auto& fixture : fixtures)
        EXPECT_EQ(fixture->admin_reply(fixture->running, "STATUS").substr(0, 4), "done");
    end(fixtures);
}

// Checks that the case above can detect lost requests: recv() reports ECONNRESET on intact client
// connections.
TEST(CombinedSystemFaults, CountsRequestsThatAreLost) {
    Fixtures fixtures = start_four_processes();
    for (const auto& fixture : fixtures) fixture->calls.fail(SystemCall::receive, ECONNRESET);
    EXPECT_GT(run_round(fixtures).lost, 0U);
    end(fixtures);
}
