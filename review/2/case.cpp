/// A referenced request (effect "token") that may have run is sent again after the time in which the servers
/// know a repeat. A third of the connections to servers come up late, and some connections are reset under
/// requests that have begun.
#include <algorithm>

#include "../standins/standins.h"

using namespace standins;

namespace {

constexpr int clients = 500;
constexpr double between_clients = 0.1;
constexpr int window_ms = 1000;
constexpr double window = window_ms / 1000.0;
// "each time limit is 50 ms longer", and 0.15 s for a balancer that is held up: the servers know a repeat for
// longer than the settings say.
constexpr double remembered = window + 0.05 + 0.15;
constexpr int one_reset_in = 3;
// A server's connections are late in a quarter of the time: under the third that the page names. The first
// packet is repeated after a second, when the server is past its late phase, so that none comes up later
// than 1.1 s.
constexpr double late_phase = 0.4;
constexpr double usual_phase = 1.2;

/// What the servers know together: the group of servers that drop repeats is all of them.
struct Run {
    double first_at = 0;  ///< when the last byte of the request came first
    std::string receipt;
    int runs = 1;
};
std::mutex runs_mutex;
std::map<std::string, Run> runs;
std::atomic<int> repeats_known{0};

/// Runs the request unless it is a repeat that the servers still know; returns the receipt.
std::string run_once(const Server& server, const std::string& id, bool& is_repeat) {
    const std::lock_guard<std::mutex> lock(runs_mutex);
    const double at = now();
    const auto [entry, is_new] = runs.try_emplace(id, Run{at, hex16(random_number()), 1});
    Run& run = entry->second;
    const double age = at - run.first_at;
    is_repeat = !is_new;
    if (is_new) {
        Record::get().line("server   %s runs %s", server.name.c_str(), id.c_str());
    } else if (age <= remembered) {
        ++repeats_known;
        Record::get().line("server   %s knows %s from %.0f ms ago and does not run it again",
                           server.name.c_str(), id.c_str(), age * 1000);
    } else {
        ++run.runs;
        Record::get().line("server   %s RUNS %s AGAIN, %.0f ms after the first time; the window is %.0f ms",
                           server.name.c_str(), id.c_str(), age * 1000, window * 1000);
    }
    return run.receipt;
}

void serve(Server& server, int fd) {
    LineReader reader(fd);
    std::string line;
    if (reader.read(line, now() + 5) != ReadEnd::line) {
        close(fd);
        return;
    }
    Record::get().line("server   %s got '%s'", server.name.c_str(), line.c_str());
    const std::string id = field(line, "id");
    bool is_repeat = false;
    const std::string receipt = run_once(server, id, is_repeat);
    if (has_trouble() && !is_repeat && random_number() % one_reset_in == 0) {
        sleep_for(0.10 + 0.00035 * static_cast<double>(random_number() % 1000));
        Record::get().line("server   %s: the connection of %s is reset before its answer",
                           server.name.c_str(), id.c_str());
        reset(fd);
        return;
    }
    send_all(fd, "UP " + receipt + "\r\n");
    echo(fd, reader);
}

/// Fills the listener's queue for some time: a connection that is begun then comes up one second later, when
/// the kernel repeats its first packet.
void make_late(const Listener& listener, double seconds, std::atomic<bool>* accepts) {
    if (accepts != nullptr) *accepts = false;
    listen(listener.fd, 0);
    const int filler = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const sockaddr_in address = address_of(listener.host, listener.port);
    static_cast<void>(connect(filler, generic(address), sizeof address));
    sleep_for(seconds);
    listen(listener.fd, 128);
    if (accepts != nullptr) *accepts = true;
    close(filler);
}

/// Returns how late a connection comes up at a listener that is made late.
double measure_lateness() {
    const Listener listener = listen_at(loopback(99));
    std::thread phase([&] {
        make_late(listener, late_phase, nullptr);
        close(accept(listener.fd, nullptr, nullptr));
    });
    sleep_for(0.1);
    const double begun = now();
    const int fd = connect_to(listener.host, listener.port);
    const double late = now() - begun;
    phase.join();
    close(fd);
    close(listener.fd);
    return late;
}

}  // namespace

int main() {
    signal(SIGPIPE, SIG_IGN);
    const double lateness = measure_lateness();
    if (lateness < 0.8 || lateness > 1.4)
        cannot_run("connections come up " + std::to_string(lateness) + " s late here");

    std::vector<std::unique_ptr<Server>> servers;
    for (int k = 0; k < 6; ++k)
        servers.push_back(std::make_unique<Server>("s" + std::to_string(k + 1), loopback(10 + k), serve));
    std::vector<Agent::Instance> instances;
    for (const auto& server : servers) instances.push_back(server->instance());
    Agent agent(loopback(4), instances);
    const Balancer balancer =
        start_balancer(agent.address(), agent.list(),
                       settings({.effect = "token", .window_ms = window_ms, .dial_ms = 1500}));

    std::vector<std::thread> phases;
    std::atomic<bool> is_over{false};
    for (size_t k = 0; has_trouble() && k < servers.size(); ++k)
        phases.emplace_back([&, k] {
            sleep_for((late_phase + usual_phase) * static_cast<double>(k) /
                      static_cast<double>(servers.size()));
            while (!is_over) {
                make_late(servers[k]->listener(), late_phase, &servers[k]->accepts);
                sleep_for(usual_phase);
            }
        });

    std::atomic<int> served{0};
    std::atomic<int> refused{0};
    std::atomic<int> failed{0};
    std::atomic<int> unanswered{0};
    std::vector<std::thread> threads;
    for (int k = 0; k < clients; ++k) {
        threads.emplace_back([&] {
            const auto [id, line, wait] = make_request(traffic_types[0]);
            Record::get().line("client   %s sends its request", id.c_str());
            const Answer answer = request(balancer, line, wait + 0.55, 1.0);
            const bool is_whole = answer.end == ReadEnd::line;
            ++(!is_whole                           ? unanswered
               : answer.line.rfind("UP ", 0) == 0  ? served
               : answer.line.rfind("BUSY", 0) == 0 ? refused
                                                   : failed);
            Record::get().line("client   %s: %s '%.40s' after %.0f ms", id.c_str(), name_of(answer.end),
                               answer.line.c_str(), (answer.at - answer.sent_at) * 1000);
        });
        sleep_for(between_clients);
    }
    for (std::thread& thread : threads) thread.join();
    is_over = true;
    for (std::thread& thread : phases) thread.join();
    const bool ran = end_balancer(balancer);

    int twice = 0;
    {
        const std::lock_guard<std::mutex> lock(runs_mutex);
        for (const auto& [id, run] : runs) twice += run.runs > 1 ? 1 : 0;
    }
    Record::get().line(
        "result   %d requests: %d served, %d refused, %d failed, %d without an answer; %d repeats "
        "that the servers knew; %d RUN TWICE; the balancer %s",
        clients, served.load(), refused.load(), failed.load(), unanswered.load(), repeats_known.load(), twice,
        ran ? "ran to the end" : "CRASHED");
    std::printf("%d of %d requests were run twice\n", twice, clients);
    end_case(twice > 0 || !ran);
}
