#include "testbed/fleet_servers.h"

#include <algorithm>

namespace headrouter::testbed {

using namespace scenario;

namespace {

constexpr int samples_a_second = 10;
// Same as in ServerTable::listed_weight.
constexpr double least_weight = 1e-3;
constexpr double us_per_second = 1e6;
constexpr double us_per_ms = 1000;
// Limit for a server without slow start: more requests than any run sends.
constexpr double unlimited_cold_requests = 1e9;
constexpr float server_is_down = -1;

double mean_load_of(const Scenario& scenario) {
    double load = 0;
    double share = 0;
    for (const RequestClassSpec& request_class : scenario.traffic.types) {
        share += request_class.share;
        load += request_class.share * request_class.load * us_per_ms;
    }
    return load / share;
}

}  // namespace

FleetServers::FleetServers(FleetContext& context, std::vector<ClientPopulation*> clients)
    : context_(context), clients_(std::move(clients)), mean_request_load_(mean_load_of(context.scenario)) {}

void FleetServers::add(int server, uint64_t seed) {
    const Scenario& scenario = context_.scenario;
    const ServerKind& kind = context_.kind_of(server);
    auto simulated = std::make_unique<SimulatedServer>(kind, scenario, seed);
    SeenByServers& observer = *this;
    auto fake = std::make_unique<FakeServer>(thread_.timers(), server, context_.address_of(server),
                                             *simulated, scenario, observer);
    ColdCount cold_requests(cold_request_limit(kind), scenario.overload_window, kind.slow_start_time);
    servers_.push_back({server, std::move(simulated), std::move(cold_requests), std::move(fake)});
}

// Returns how many requests of mean work all balancers together may send a cold server within the overload
// window.
double FleetServers::cold_request_limit(const ServerKind& kind) const {
    if (kind.slow_start_time.ns <= 0) return unlimited_cold_requests;
    const Scenario& scenario = context_.scenario;
    const double warm_capacity = kind.cores * kind.speed * us_per_second / mean_request_load_;
    return scenario.overload_multiple * warm_capacity * (scenario.overload_window / kind.slow_start_time);
}

void FleetServers::begin(TimePoint start) {
    thread_.post([this, start] {
        TimerQueue& timers = thread_.timers();
        timers.begin(start);
        for (const ScheduledAction& action : context_.actions)
            timers.at(action.at, [this, action] { apply(action); });
        timers.at(TimePoint{}, [this] { sample(); });
    });
}

FleetServers::Server* FleetServers::find(int server) {
    const auto it = std::find_if(servers_.begin(), servers_.end(),
                                 [&](const Server& other) { return other.number == server; });
    return it == servers_.end() ? nullptr : &*it;
}

// ---- events reported by the servers ----

ClientPopulation& FleetServers::clients_of(uint64_t request) const {
    return clients_of_session(session_of_request(request).value_or(0));
}

SeenByServers::Opened FleetServers::first_line(uint64_t request, std::string_view line) {
    if (!session_of_request(request)) return {};
    return clients_of(request).first_line(request, line);
}

void FleetServers::attempt_began(uint64_t request, int server, int balancer) {
    const TimePoint now = thread_.timers().now();
    log_.began(now, request, server, first_line(request, {}).load / mean_request_load_);
    find(server)->cold_requests.sent(now);
    clients_of(request).attempt_began(request, server, balancer);
}

void FleetServers::attempt_ran(uint64_t request, int server) {
    clients_of(request).attempt_ran(request, server);
}

void FleetServers::attempt_rejected(uint64_t request, int server) {
    log_.turned_away(request, server);
    clients_of(request).attempt_rejected(request, server);
}

void FleetServers::attempt_ended(uint64_t request, int server, bool by_server) {
    log_.over(thread_.timers().now(), request, server);
    clients_of(request).attempt_ended(request, server, by_server);
}

void FleetServers::garbled(int server, std::string_view line) { clients_of_session(0).garbled(server, line); }

// ---- scheduled actions on the servers ----

void FleetServers::apply(const ScheduledAction& action) {
    Server* server = find(action.target);
    if (!server) return;
    using What = ScheduledAction::What;
    const bool stops_answering =
        action.what == What::die || action.what == What::vanish || action.what == What::hang;
    // Published before any client can notice.
    if (stops_answering) context_.is_answering[static_cast<size_t>(action.target)] = false;
    apply(action, *server, thread_.timers().now());
    publish_states();
}

void FleetServers::apply(const ScheduledAction& action, Server& server, TimePoint now) {
    using What = ScheduledAction::What;
    switch (action.what) {
        case What::die: return server.fake->die();
        case What::vanish: return server.fake->vanish();
        case What::hang: return server.fake->hang();
        case What::answer_again: return server.fake->answer_again();
        case What::start_cold: server.fake->start_cold(); return server.cold_requests.started(now);
        case What::speed: return server.simulated->set_speed(now, action.size);
        case What::errors: return server.simulated->set_errors(action.size);
        case What::full: return server.simulated->set_full(action.size > 0);
        case What::drain: return server.fake->drain();
        case What::move_one_part: return server.fake->move_part(action.size);
        default: return;
    }
}

void FleetServers::publish_states() {
    for (const Server& server : servers_) {
        const auto index = static_cast<size_t>(server.number);
        context_.is_answering[index] = server.simulated->answers();
        if (!server.simulated->fell() || context_.has_fallen[index].exchange(true)) continue;
        context_.checker.fell(thread_.timers().now(), server.number);
    }
}

// ---- samples ----

void FleetServers::sample() {
    const TimePoint now = thread_.timers().now();
    const auto samples_a_log_sample = static_cast<int>(spread_every / sample_every);
    std::vector<float> utilization;
    for (const Server& server : servers_) {
        server.fake->look();
        SimulatedServer& simulated = *server.simulated;
        utilization.push_back(simulated.answers()
                                  ? static_cast<float>(simulated.asked() / simulated.capacity(now))
                                  : server_is_down);
        if (samples_ % samples_a_log_sample == 0)
            log_load(server, static_cast<size_t>(samples_ / samples_a_log_sample));
    }
    publish_states();
    if (samples_ > 0 && samples_ % samples_a_second == 0) {
        const auto second = static_cast<size_t>(samples_ / samples_a_second - 1);
        utilization_.push_back({second, std::move(utilization)});
    }
    ++samples_;
    thread_.timers().at(TimePoint{} + sample_every * samples_, [this] {
        if (!context_.is_finished) sample();
    });
}

void FleetServers::log_load(const Server& server, size_t log_sample) {
    const SimulatedServer& simulated = *server.simulated;
    const double weight = std::max(context_.kind_of(server.number).weight, least_weight);
    const bool serves = simulated.mode() == Mode::running;
    log_.sample(log_sample, server.number, serves ? simulated.asked() / mean_request_load_ / weight : -1,
                static_cast<int>(simulated.connections()));
}

void FleetServers::add_to(Outcome& outcome) const {
    for (const Utilization& row : utilization_) {
        if (outcome.use_each.size() <= row.second) outcome.use_each.resize(row.second + 1);
        std::vector<float>& all_servers = outcome.use_each[row.second];
        all_servers.resize(static_cast<size_t>(context_.scenario.servers), server_is_down);
        for (size_t k = 0; k < row.by_server.size(); ++k)
            all_servers[static_cast<size_t>(servers_[k].number)] = row.by_server[k];
    }
    for (const Server& server : servers_) {
        outcome.cold_sent += server.cold_requests.all();
        outcome.cold_overrun += server.cold_requests.most() > 1;
        outcome.cold_most = std::max(outcome.cold_most, server.cold_requests.most());
    }
}

bool FleetServers::ran_out_of_descriptors() const {
    return std::any_of(servers_.begin(), servers_.end(),
                       [](const Server& server) { return server.fake->short_of_descriptors(); });
}

}  // namespace headrouter::testbed
