#include "simulation/simulated_servers.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace headrouter::simulation {
using namespace scenario;

namespace {

constexpr Duration whole_second = seconds(1);
constexpr Duration hanging_recheck = millis(20);
constexpr Duration delay_while_silent = seconds(100);
constexpr double least_weight = 1e-3;
// As the balancer finds out about servers that say nothing (src/upstream).
constexpr Duration longest_silence = seconds(1.5), longest_quiet = seconds(0.7),
                   shortest_sign = seconds(0.25);

double mean_load(const Scenario& world) {
    double share = 0, load = 0;
    for (const RequestClassSpec& type : world.traffic.types) {
        share += type.share;
        load += type.share * type.load * 1000;
    }
    return load / share;
}

double shortest_objective(const Scenario& world) {
    double shortest = 1e9;
    for (const RequestClassSpec& type : world.traffic.types)
        shortest = std::min(shortest, to_seconds(type.message_objective));
    return shortest;
}

}  // namespace

SimulatedServers::SimulatedServers(SimulationContext& context, RequestTable& requests,
                                   const SimulatedClients& clients, Pcg32& seeds)
    : context_(context),
      requests_(requests),
      clients_(clients),
      kinds_(kinds_of(context.world)),
      silences_(static_cast<size_t>(context.world.servers)),
      mean_load_(mean_load(context.world)),
      shortest_objective_(shortest_objective(context.world)) {
    for (const int kind : kinds_)
        servers_.emplace_back(context.world.kinds[static_cast<size_t>(kind)], context.world, seeds.next());
}

const RequestClassSpec& SimulatedServers::class_of(const SimulatedRequest& request) const {
    return context_.world.traffic.types[static_cast<size_t>(clients_.session(request.session).type)];
}

// ---- set-ups ----

void SimulatedServers::on(const ConnectionArrives& event) {
    SimulatedRequest* request = requests_.find(event.request);
    if (!request) return;
    request->attempts.push_back({event.attempt, event.server, false, false});
    const Mode mode = server_at(event.server).mode();
    if (mode == Mode::vanished) return;
    if (mode == Mode::dead) return end_attempt(event.request, event.attempt, AttemptOutcome::connect_failed);
    const Duration latency = context_.server_latency(event.balancer, event.server);
    context_.send(event.balancer, ConnectionAccepted{event.request, event.attempt}, latency);
}

void SimulatedServers::on(const RequestLineArrives& event) {
    SimulatedRequest* request = requests_.find(event.request);
    SimulatedAttempt* attempt = request ? request->attempt(event.attempt) : nullptr;
    if (!attempt) return;
    const TimePoint now = context_.now();
    const Session& session = clients_.session(request->session);
    ++context_.outcome.attempts;
    spread_log_.began(now, event.request, event.server, session.load / mean_load_);
    context_.checker.attempt_began(now, event.request, event.server, event.balancer);
    context_.checker.attempt_ran(now, event.request, event.server);
    attempt->line_arrived = true;
    using How = SimulatedServer::SetUp::How;
    const SimulatedServer::SetUp set_up =
        server_at(event.server)
            .open(now, event.request, session.type, session.load, session.group, event.wait);
    if (set_up.how == How::refused) return end_attempt(event.request, event.attempt, AttemptOutcome::reset);
    if (set_up.how == How::silent) return;
    context_.events.schedule(
        set_up.at, SetUpCompletes{event.request, event.attempt, event.server, event.balancer, set_up.how});
}

void SimulatedServers::on(const SetUpCompletes& event) {
    SimulatedRequest* request = requests_.find(event.request);
    SimulatedAttempt* attempt = request ? request->attempt(event.attempt) : nullptr;
    if (!attempt || !attempt->line_arrived) return;
    if (server_at(event.server).mode() == Mode::hanging)  // answered when it goes on
        return context_.events.schedule(context_.now() + hanging_recheck, event);
    using How = SimulatedServer::SetUp::How;
    if (event.result != How::up) {
        const bool is_busy = event.result == How::busy;
        spread_log_.turned_away(event.request, event.server);
        if (is_busy) context_.checker.attempt_rejected(event.request, event.server);
        return end_attempt(event.request, event.attempt,
                           is_busy ? AttemptOutcome::at_capacity : AttemptOutcome::error);
    }
    requests_.establish(event.request, *attempt);
    const Duration latency = context_.server_latency(event.balancer, event.server);
    context_.send(event.balancer, AttemptEstablished{event.request, event.attempt}, latency);
    if (is_up_in_time(event.request, *request)) ++context_.outcome.up_in_time;
    if (!context_.world.tells_load) return;
    const double load = clients_.session(request->session).load;
    context_.send(event.balancer, LoadReported{event.request, load}, latency);
}

bool SimulatedServers::is_up_in_time(uint64_t id, const SimulatedRequest& request) const {
    if (clients_.latest_request(request.session) != id) return false;
    return context_.now() - context_.checker.opened_at(id) <= class_of(request).setup_objective;
}

// ---- ends ----

void SimulatedServers::on(const ConnectionCloses& event) { remove_attempt(event.request, event.attempt); }

void SimulatedServers::remove_attempt(uint64_t id, int number) {
    SimulatedRequest* request = requests_.find(id);
    const SimulatedAttempt* found = request ? request->attempt(number) : nullptr;
    if (!found) return;
    const SimulatedAttempt attempt = *found;
    requests_.remove_attempt(id, number);
    if (attempt.line_arrived) {
        const TimePoint now = context_.now();
        server_at(attempt.server).close(now, id);
        spread_log_.over(now, id, attempt.server);
        context_.checker.attempt_ended(now, id, attempt.server);
    }
    requests_.erase_if_over(id);
}

void SimulatedServers::end_attempt(uint64_t id, int number, AttemptOutcome ending) {
    SimulatedRequest* request = requests_.find(id);
    const SimulatedAttempt* attempt = request ? request->attempt(number) : nullptr;
    if (!attempt) return;
    const Duration latency = context_.server_latency(request->balancer, attempt->server);
    context_.send(request->balancer, AttemptEnded{id, number, ending}, latency);
    remove_attempt(id, number);
}

void SimulatedServers::end_all(int server, AttemptOutcome ending) {
    for (const auto& [id, number] : requests_.attempts_at(server)) end_attempt(id, number, ending);
}

// ---- the schedule ----

void SimulatedServers::apply(const ScheduledAction& action) {
    using What = ScheduledAction::What;
    const TimePoint now = context_.now();
    SimulatedServer& server = server_at(action.target);
    uint64_t& silences = silences_[static_cast<size_t>(action.target)];
    switch (action.what) {
        case What::die:
            server.set_mode(now, Mode::dead);
            return end_all(action.target, AttemptOutcome::reset);
        case What::vanish: server.set_mode(now, Mode::vanished); return fall_silent(action.target);
        case What::hang: server.set_mode(now, Mode::hanging); return fall_silent(action.target);
        case What::answer_again: ++silences; return server.set_mode(now, Mode::running);
        case What::start_cold:
            ++silences;
            if (server.mode() == Mode::vanished) end_all(action.target, AttemptOutcome::reset);
            return server.start_cold(now);
        case What::speed: return server.set_speed(now, action.size);
        case What::errors: return server.set_errors(action.size);
        case What::full: return server.set_full(action.size > 0);
        case What::drain: return server.set_mode(now, Mode::draining);
        case What::move_one_part: return move_part(action.target, action.size);
        default: return;
    }
}

void SimulatedServers::move_part(int server, double part) {
    const std::vector<uint64_t> on = requests_.sorted_established_on(server);
    const auto moves = static_cast<size_t>(std::lround(static_cast<double>(on.size()) * part));
    for (size_t k = 0; k < std::min(moves, on.size()); ++k)
        end_attempt(on[k], requests_.at(on[k]).attempts.back().number, AttemptOutcome::cancelled);
}

/// Clients speak every so often, and a balancer waits a while for the answers they are owed.
void SimulatedServers::fall_silent(int server) {
    const uint64_t silence = ++silences_[static_cast<size_t>(server)];
    std::vector<std::vector<TimePoint>> spoken(static_cast<size_t>(context_.world.balancers));
    for (const uint64_t id : requests_.sorted_established_on(server)) {
        const SimulatedRequest& request = requests_.at(id);
        const Duration every = class_of(request).message_every;
        spoken[static_cast<size_t>(request.balancer)].push_back(context_.now() +
                                                                every * context_.chance.uniform());
    }
    for (int balancer = 0; balancer < context_.world.balancers; ++balancer) {
        std::vector<TimePoint>& times = spoken[static_cast<size_t>(balancer)];
        if (times.empty()) continue;
        std::sort(times.begin(), times.end());
        TimePoint noticed = times[0] + longest_silence;
        if (times.size() > 1)
            noticed = std::min(noticed, std::max(times[0] + longest_quiet, times[1] + shortest_sign));
        context_.events.schedule(noticed, SilenceNoticed{server, balancer, silence});
    }
}

void SimulatedServers::on(const SilenceNoticed& event) {
    if (event.silence != silences_[static_cast<size_t>(event.server)]) return;
    context_.send(event.balancer, ServerSilent{event.server}, context_.tick());
}

// ---- samples ----

SimulatedServers::Sample SimulatedServers::sample() {
    Sample sample;
    const bool is_whole_second = context_.now().ns % whole_second.ns == 0;
    for (int server = 0; server < context_.world.servers; ++server)
        sample_server(server, is_whole_second, sample);
    return sample;
}

void SimulatedServers::sample_server(int number, bool is_whole_second, Sample& sample) {
    const TimePoint now = context_.now();
    const std::vector<RequestClassSpec>& types = context_.world.traffic.types;
    SimulatedServer& server = server_at(number);
    const Mode before = server.mode();
    server.work_left(now);
    if (server.mode() != before) end_all(number, AttemptOutcome::reset);  // it fell over
    const Duration delay = server.answers() ? server.delay(now) : delay_while_silent;
    if (now.ns % spread_every.ns == 0) log_load(number);
    if (is_whole_second)
        sample.use.push_back(server.answers() ? static_cast<float>(server.asked() / server.capacity(now))
                                              : -1.f);
    if (server.connections() == 0) return;
    for (size_t type = 0; type < types.size(); ++type) {
        const int connections = server.by_type()[type];
        if (connections == 0) continue;
        if (server.answers())
            context_.checker.message(static_cast<int>(type), delay, static_cast<uint64_t>(connections));
        if (well_served(types[type], delay)) sample.served += connections * types[type].revenue;
    }
    if (!server.answers()) return;
    const bool is_noticeable = to_seconds(delay) > shortest_objective_ / 3;
    if (is_whole_second && context_.world.tells_delay && is_noticeable) report_delay(number, delay);
    if (delay > longest_silence) time_out_messages(number);
}

void SimulatedServers::log_load(int number) {
    const SimulatedServer& server = server_at(number);
    const auto kind = static_cast<size_t>(kinds_[static_cast<size_t>(number)]);
    const double weight = std::max(context_.world.kinds[kind].weight, least_weight);
    spread_log_.sample(static_cast<size_t>(context_.now().ns / spread_every.ns), number,
                       server.mode() == Mode::running ? server.asked() / mean_load_ / weight : -1,
                       static_cast<int>(server.connections()));
}

/// Tells each balancer with a connection to the server of its delay.
void SimulatedServers::report_delay(int server, Duration delay) {
    std::vector<bool> told(static_cast<size_t>(context_.world.balancers));
    for (const uint64_t id : requests_.established_on(server)) {
        const int balancer = requests_.at(id).balancer;
        if (told[static_cast<size_t>(balancer)]) continue;
        told[static_cast<size_t>(balancer)] = true;
        context_.send(balancer, LatencyReported{server, to_seconds(delay) * 1000},
                      context_.world.server_latency);
    }
}

/// Whoever speaks now waits longer for the answer than the balancer bears.
void SimulatedServers::time_out_messages(int server) {
    for (const uint64_t id : requests_.sorted_established_on(server)) {
        const SimulatedRequest& request = requests_.at(id);
        const Duration every = class_of(request).message_every;
        if (context_.chance.uniform() >= sample_every / every) continue;
        context_.send(request.balancer, ConnectionSilent{id}, context_.tick());
    }
}

void SimulatedServers::settle(TimePoint now) {
    for (SimulatedServer& server : servers_) server.work_left(now);
    report_falls(now);
}

void SimulatedServers::report_falls(TimePoint now) {
    for (int server = 0; server < context_.world.servers; ++server)
        if (fell(server)) context_.checker.fell(now, server);
}

}  // namespace headrouter::simulation
