#include "testbed/process_fleet.h"

#include <algorithm>
#include <cstdio>
#include <sstream>
#include <utility>

#include "scenario/session.h"
#include "transport/clock.h"

namespace headrouter::testbed {

using namespace scenario;

namespace {

constexpr int client_threads = 2;
constexpr int server_threads = 2;

constexpr const char* line_port = ":8080";
constexpr const char* client_relay_port = ":8081";
constexpr const char* discovery_port = ":8500";
constexpr const char* gossip_port = ":9090";
constexpr const char* gossip_relay_port = ":9091";
constexpr int first_admin_port = 10000;

// Pcg32 streams; their numbers only have to differ.
constexpr uint64_t balancer_seeds_stream = 53;
constexpr uint64_t server_seeds_stream = 41;

constexpr int max_sockets_of_balancer = 4096;

// A run is not judged if a timer of the lab fired later than max_lateness, or if more than max_times_late
// timers fired later than TimerQueue::late_by.
constexpr Duration max_lateness = millis(500);
constexpr int max_times_late = 10;
constexpr int64_t ns_per_ms = 1'000'000;

std::vector<std::string> server_addresses(const Scenario& scenario, const AddressBlock& block) {
    std::vector<std::string> addresses;
    for (int server = 0; server < scenario.servers; ++server)
        addresses.push_back(block.host(server) + line_port);
    return addresses;
}

/// Collects the lateness of the threads of clients, servers and paths.
struct Lateness {
    Duration worst;
    int times_late = 0;

    void add(EventLoopThread& thread) {
        worst = std::max(worst, thread.timers().worst_lateness());
        times_late += thread.timers().times_late();
    }
};

}  // namespace

ProcessFleet::ProcessFleet(const Scenario& scenario, uint64_t seed)
    : block_(scenario.servers + scenario.balancers),
      context_(scenario, seed, server_addresses(scenario, block_)),
      random_(seed, balancer_seeds_stream),
      max_descriptors_(raise_descriptors()) {
    std::vector<FaultyPaths::BalancerAddresses> balancer_addresses;
    std::vector<std::string> discovery_addresses;
    for (int balancer = 0; balancer < scenario.balancers; ++balancer) {
        const std::string host = block_.host(scenario.servers + balancer);
        seats_.push_back({"b" + std::to_string(balancer), host + line_port, host + discovery_port,
                          host + gossip_port, host + gossip_relay_port});
        balancer_addresses.push_back({host + line_port, host + client_relay_port});
        discovery_addresses.push_back(host + discovery_port);
    }
    std::vector<std::string> server_hosts;
    for (int server = 0; server < scenario.servers; ++server) server_hosts.push_back(block_.host(server));

    make_clients();
    make_servers();
    paths_ = std::make_unique<FaultyPaths>(context_, balancer_addresses, server_hosts);
    for (const auto& [balancer, relay] : paths_->client_relays())
        for (const auto& clients : clients_) clients->population().reach_by(balancer, relay);
    endpoint_lists_ = std::make_unique<FleetEndpointLists>(context_, *paths_, discovery_addresses);
    if (scenario.messages) make_datagram_relay();
}

ProcessFleet::~ProcessFleet() { end_threads(); }

void ProcessFleet::make_clients() {
    std::vector<std::string> balancer_addresses;
    for (const Seat& seat : seats_) balancer_addresses.push_back(seat.listen);
    std::vector<std::vector<Session>> parts(client_threads);
    for (Session& session : draw_sessions(context_.scenario, context_.seed))
        parts[session.number % client_threads].push_back(std::move(session));
    for (size_t part = 0; part < parts.size(); ++part)
        clients_.push_back(
            std::make_unique<FleetClients>(context_, std::move(parts[part]), part, balancer_addresses));
}

void ProcessFleet::make_servers() {
    std::vector<ClientPopulation*> populations;
    for (const auto& clients : clients_) populations.push_back(&clients->population());
    for (int thread = 0; thread < server_threads; ++thread)
        servers_.push_back(std::make_unique<FleetServers>(context_, populations));
    Pcg32 seeds(context_.seed, server_seeds_stream);
    for (int server = 0; server < context_.scenario.servers; ++server)
        servers_[static_cast<size_t>(server % server_threads)]->add(server, seeds.next());
}

void ProcessFleet::make_datagram_relay() {
    std::vector<DatagramRelay::Place> places;
    for (const Seat& seat : seats_) places.push_back({seat.gossip, seat.gossip_relay});
    datagrams_ = std::make_unique<DatagramRelay>(datagram_thread_.timers(), places, context_.injections,
                                                 context_.seed);
}

void ProcessFleet::end_threads() {
    for (const auto& clients : clients_) clients->end();
    for (const auto& servers : servers_) servers->end();
    paths_->end();
    endpoint_lists_->end();
    datagram_thread_.end();
}

// ---- balancers ----

std::string ProcessFleet::admin_address(int balancer, int process) const {
    return block_.host(context_.scenario.servers + balancer) + ":" +
           std::to_string(first_admin_port + process);
}

std::string ProcessFleet::config(int balancer, int process) {
    const Scenario& scenario = context_.scenario;
    const Seat& own = seat(balancer);
    char seed[20];
    std::snprintf(seed, sizeof seed, "%08x%08x", random_.next(), random_.next());
    std::ostringstream json;
    json << R"({"name":")" << own.name << R"(","listen":")" << own.listen << R"(","discovery":")"
         << own.discovery << R"(","ops":")" << admin_address(balancer, process) << R"(","seed":")" << seed
         << R"(","limits":{"cores":1,"memory_mb":192,"sockets":)"
         << std::min(max_descriptors_, max_sockets_of_balancer)
         << R"(},"known":{"generation":1,"reset":true,"instances":[]},)";
    if (scenario.messages) {
        json << R"("peers":{"own":")" << own.gossip << R"(","all":[)";
        for (int other = 0; other < scenario.balancers; ++other) {
            const std::string& address = other == balancer ? own.gossip : seat(other).gossip_relay;
            json << (other > 0 ? "," : "") << '"' << address << '"';
        }
        json << "]},";
    }
    json << R"("settings":)" << settings_json(scenario, balancer) << "}";
    return json.str();
}

void ProcessFleet::observe_datagrams(DatagramObserver observer) {
    if (datagrams_) datagrams_->watch_by(std::move(observer));
}

void ProcessFleet::on_balancer_killed(int balancer) {
    context_.checker.absent(balancer, true);
    for (const auto& clients : clients_) clients->population().balancer_dies(balancer);
}

void ProcessFleet::set_front_sends(int balancer, bool sends) {
    if (sends) context_.checker.absent(balancer, false);
    for (const auto& clients : clients_) clients->population().front_sends(balancer, sends);
}

// ---- the run ----

TimePoint ProcessFleet::now() const { return TimePoint{} + (Clock::now() - started_at_); }

void ProcessFleet::open() {
    endpoint_lists_->run();
    datagram_thread_.run();
    paths_->run();
    for (const auto& servers : servers_) servers->run();
}

void ProcessFleet::begin(TimePoint start) {
    started_at_ = start;
    endpoint_lists_->begin(start);
    datagram_thread_.post([this, start] { datagram_thread_.timers().begin(start); });
    paths_->begin(start);
    for (const auto& servers : servers_) servers->begin(start);
    for (const auto& clients : clients_) clients->run(start);
}

std::string ProcessFleet::why_not_judged() const {
    std::string short_of;
    Lateness lateness;
    for (const auto& clients : clients_) {
        if (!clients->population().short_of().empty()) short_of = clients->population().short_of();
        lateness.add(clients->thread());
    }
    for (const auto& servers : servers_) {
        if (servers->ran_out_of_descriptors()) short_of = "descriptors";
        lateness.add(servers->thread());
    }
    lateness.add(paths_->thread());
    if (!short_of.empty()) return "the lab ran out of " + short_of;
    if (lateness.worst > max_lateness || lateness.times_late > max_times_late)
        return "the lab ran late by " + std::to_string(lateness.worst.ns / ns_per_ms) + " ms at worst, " +
               std::to_string(lateness.times_late) + " times by over 100 ms";
    return {};
}

Outcome ProcessFleet::end() {
    const TimePoint ended = now();
    end_threads();
    Outcome outcome;
    outcome.on = "sockets";
    outcome.seed = context_.seed;
    for (const auto& clients : clients_) {
        outcome.add(clients->outcome());
        outcome.garbled += clients->population().garbled_lines();
    }
    SpreadLog log;
    for (const auto& servers : servers_) {
        servers->add_to(outcome);
        log.take(servers->take_log());
    }
    outcome.actions = context_.actions;
    outcome.injections = context_.injections;
    context_.checker.finish(ended);
    outcome.judge(context_.scenario, context_.checker);
    outcome.requests = context_.checker.requests();
    outcome.judge_spread(context_.scenario, log);
    if (datagrams_) {
        const double balancer_seconds = to_seconds(context_.scenario.length) * context_.scenario.balancers;
        outcome.datagrams = static_cast<double>(datagrams_->counts().sent) / balancer_seconds;
        outcome.datagram_bytes = static_cast<double>(datagrams_->counts().bytes) / balancer_seconds;
    }
    outcome.not_judged = why_not_judged();
    return outcome;
}

}  // namespace headrouter::testbed
