/// The discovery agent becomes slow: each of its answers comes late by 0.6 s, and it stays so. Then a server
/// begins to drain. Nothing new may go to that server later than the grace after the balancer counts as told.
#include "../standins/standins.h"

using namespace standins;

namespace {

constexpr int servers_count = 5;
constexpr double slowness = 0.6;
constexpr double quiet_time = 5;         // the agent answers at once
constexpr double slow_before_drain = 3;  // it is slow, and nothing changes
constexpr double watched_after = 40;     // how long clients go on after the drain began
constexpr double between_clients = 0.1;
// The latest of all times that the pages give: "a change counts as told at the latest 6 s after discovery had
// it and could be reached"; the grace of the settings; "each time limit is 50 ms longer"; a balancer may be
// held up for 0.15 s.
constexpr double told_at_the_latest = 6;
constexpr double drain_grace = 3;
constexpr double tolerance = 0.05 + 0.15;

std::atomic<double> drains_from{1e9};
std::atomic<int> late_sends{0};
std::atomic<int> sends_in_grace{0};

void serve(Server& server, int fd) {
    LineReader reader(fd);
    std::string line;
    if (reader.read(line, now() + 5) != ReadEnd::line) {
        close(fd);
        return;
    }
    const std::string id = field(line, "id");
    const double since = reader.first_byte_at() - drains_from;
    if (server.name != "s1" || since < 0) {
        send_all(fd, "UP " + hex16(random_number()) + "\r\n");
        Record::get().line("server   %s serves %s", server.name.c_str(), id.c_str());
        return echo(fd, reader);
    }
    // A draining server turns new requests away.
    const bool is_late = since > told_at_the_latest + drain_grace + tolerance;
    ++(is_late ? late_sends : sends_in_grace);
    Record::get().line("server   %s drains since %.2f s and is sent %s%s", server.name.c_str(), since,
                       id.c_str(), is_late ? "  <-- TOO LATE" : "");
    send_all(fd, "BUSY\r\n");
    close(fd);
}

}  // namespace

int main() {
    signal(SIGPIPE, SIG_IGN);
    std::vector<std::unique_ptr<Server>> servers;
    std::vector<Agent::Instance> instances;
    for (int k = 0; k < servers_count; ++k) {
        servers.push_back(std::make_unique<Server>("s" + std::to_string(k + 1), loopback(10 + k), serve));
        instances.push_back(servers.back()->instance());
    }
    Agent agent(loopback(4), instances);
    const Balancer balancer = start_balancer(agent.address(), agent.list(), settings());

    std::atomic<bool> is_over{false};
    std::atomic<int> served{0};
    std::atomic<int> others{0};
    std::atomic<int> requests{0};
    std::thread clients([&] {
        std::vector<std::thread> threads;
        while (!is_over) {
            ++requests;
            threads.emplace_back([&] {
                const auto [id, line, wait] = make_request(draw_type());
                const Answer answer = request(balancer, line, wait + 0.55, 1.0);
                ++(answer.line.rfind("UP ", 0) == 0 ? served : others);
            });
            sleep_for(between_clients);
        }
        for (std::thread& thread : threads) thread.join();
    });

    sleep_for(quiet_time);
    if (has_trouble()) {
        Record::get().line("agent    answers %.1f s late from now on", slowness);
        agent.delay = slowness;
    }
    sleep_for(slow_before_drain);
    drains_from = agent.change("s1", "DRAINING");
    sleep_for(watched_after);
    is_over = true;
    clients.join();
    const bool ran = end_balancer(balancer);
    Record::get().line(
        "result   %d requests, %d served, %d answered otherwise; the draining server was sent %d up "
        "to the limit and %d later; the balancer %s",
        requests.load(), served.load(), others.load(), sends_in_grace.load(), late_sends.load(),
        ran ? "ran to the end" : "CRASHED");
    std::printf(
        "%d requests were sent to a draining server more than %.1f s after the agent had the change\n",
        late_sends.load(), told_at_the_latest + drain_grace + tolerance);
    end_case(late_sends > 0 || !ran);
}
