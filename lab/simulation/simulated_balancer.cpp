#include "simulation/simulated_balancer.h"

#include <xxhash.h>

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <utility>

namespace headrouter::simulation {

namespace {

// As src/router/request_intake.cpp, without its limit to a part of the wait: deadlines here are longer.
constexpr Duration reply_margin = millis(10);
constexpr TimePoint never{INT64_MAX};
constexpr size_t server_id_prefix = 2;  // "s-"

constexpr int64_t none_in_digest = -1;
constexpr int64_t first_answer_in_digest = 3;  // after the commands to servers

/// One output as the digest has it.
struct DigestRow {
    int64_t kind;
    int64_t at_ns;
    int64_t request;
    int64_t attempt;
    int64_t server;
    int64_t duration_ns;
};

struct DigestRowOf {
    TimePoint at;
    DigestRow operator()(const ConnectToServer& command) const {
        return {0, at.ns, static_cast<int64_t>(command.request), command.attempt, command.server, 0};
    }
    DigestRow operator()(const SendRequestLine& command) const {
        const auto request = static_cast<int64_t>(command.request);
        return {1, at.ns, request, command.attempt, command.server, command.wait.ns};
    }
    DigestRow operator()(const CloseServerConnection& command) const {
        return {2, at.ns, static_cast<int64_t>(command.request), command.attempt, command.server, 0};
    }
    DigestRow operator()(const AnswerClient& command) const {
        const int64_t kind = first_answer_in_digest + static_cast<int64_t>(command.answer);
        const auto request = static_cast<int64_t>(command.request);
        return {kind, at.ns, request, none_in_digest, none_in_digest, command.retry_after.ns};
    }
};

}  // namespace

int server_index_of(const ServerId& id) {
    int index = -1;
    std::from_chars(id.data() + server_id_prefix, id.data() + id.size(), index);
    return index;
}

SimulatedBalancer::SimulatedBalancer(const scenario::Scenario& scenario, int number, PolicyKind kind,
                                     uint64_t seed, std::string record_to)
    : scenario_(scenario),
      number_(number),
      kind_(kind),
      record_to_(std::move(record_to)),
      seed_(seed),
      endpoint_states_(static_cast<size_t>(scenario.servers)),
      is_listed_(static_cast<size_t>(scenario.servers)) {
    start_process();
}

void SimulatedBalancer::start_process() {
    policy_.reset();
    requests_.clear();
    pending_actions_.clear();
    timers_ = {};
    const uint64_t seed = Pcg32(seed_, processes_started_++).next();
    const Recording recording =
        record_to_.empty() ? Recording{} : Recording{record_to_, "b" + std::to_string(number_)};
    policy_ = make_policy(kind_, scenario::deployment_of(scenario_, number_), seed, *this, now_, recording);
    if (!known_endpoints_.empty()) policy_->on_endpoints(now_, EndpointUpdateKind::cached, known_endpoints_);
    perform_actions();
}

void SimulatedBalancer::receive(BalancerInput input) { inputs_.push({std::move(input), next_order_++}); }

TimePoint SimulatedBalancer::next() const {
    TimePoint due = never;
    if (!inputs_.empty()) due = inputs_.top().input.at;
    if (!timers_.empty()) due = std::min(due, timers_.top().at);
    return due == never ? never : std::max(due, stalled_until_);
}

void SimulatedBalancer::run(TimePoint until) {
    while (next() < until) {
        ++events_;
        now_ = std::max(now_, stalled_until_);
        const bool is_input_next =
            !inputs_.empty() && (timers_.empty() || inputs_.top().input.at <= timers_.top().at);
        if (is_input_next) {
            const BalancerInput input = inputs_.top().input;
            inputs_.pop();
            now_ = std::max(now_, input.at);
            std::visit([this](const auto& event) { handle(event); }, input.event);
        } else {
            const Timer timer = timers_.top();
            timers_.pop();
            now_ = std::max(now_, timer.at);
            play(timer);
        }
        perform_actions();
    }
}

SimulatedBalancer::ActiveRequest* SimulatedBalancer::find(uint64_t request) {
    const auto it = requests_.find(request);
    return it == requests_.end() ? nullptr : &it->second;
}

bool SimulatedBalancer::is_pending_attempt(const ActiveRequest& request, int attempt) {
    return request.is_pending && request.attempt == attempt;
}

bool SimulatedBalancer::accepts_new_requests(int server) const {
    const auto index = static_cast<size_t>(server);
    return is_listed_[index] && endpoint_states_[index] == EndpointState::active;
}

// ---- the process ----

void SimulatedBalancer::handle(const ProcessKilled&) {
    policy_.reset();
    requests_.clear();
    timers_ = {};
}

void SimulatedBalancer::handle(const ProcessStarted&) { start_process(); }

void SimulatedBalancer::handle(const ProcessStalled& event) { stalled_until_ = event.until; }

void SimulatedBalancer::handle(const EndpointsReceived& event) {
    const std::vector<Endpoint>& endpoints = *event.endpoints;
    if (event.kind != EndpointUpdateKind::delta) is_listed_.assign(is_listed_.size(), false);
    for (const Endpoint& endpoint : endpoints) {
        const auto index = static_cast<size_t>(server_index_of(endpoint.server));
        is_listed_[index] = true;
        endpoint_states_[index] = endpoint.state;
        const auto known =
            std::find_if(known_endpoints_.begin(), known_endpoints_.end(),
                         [&](const Endpoint& other) { return other.server == endpoint.server; });
        if (known == known_endpoints_.end())
            known_endpoints_.push_back(endpoint);
        else
            *known = endpoint;
    }
    if (policy_) policy_->on_endpoints(now_, event.kind, endpoints);
}

void SimulatedBalancer::play(const Timer& timer) {
    if (const auto* policy_timer = std::get_if<PolicyTimer>(&timer.purpose))
        policy_->on_timer(now_, policy_timer->token);
    else
        on_attempt_timer(std::get<AttemptTimer>(timer.purpose));
}

// ---- clients and other balancers ----

void SimulatedBalancer::handle(const RequestReceived& event) {
    if (!policy_) return;
    const scenario::Session& session = *event.session;
    const scenario::RequestClassSpec& request_class =
        scenario_.traffic.types[static_cast<size_t>(session.type)];
    ActiveRequest& active = requests_[event.request];
    active.deadline = now_ + request_class.deadline - reply_margin - scenario_.client_latency * 2;
    Request request;
    request.id = event.request;
    request.type = session.type;
    request.tenant = session.tenant;
    request.is_reconnect = event.is_reconnect;
    request.key = session.key;
    request.group = session.group;
    request.deadline = active.deadline;
    policy_->on_request(now_, std::move(request));
}

void SimulatedBalancer::handle(const ClientDisconnected& event) {
    const ActiveRequest* request = find(event.request);
    if (!policy_ || !request) return;
    if (request->is_pending || request->is_established) close_server_connection(event.request, *request);
    requests_.erase(event.request);
    policy_->on_client_gone(now_, event.request);
}

void SimulatedBalancer::handle(const GossipReceived& event) {
    if (policy_) policy_->on_gossip(now_, event.from, event.bytes);
}

// ---- servers ----

void SimulatedBalancer::handle(const ConnectionAccepted& event) {
    ActiveRequest* request = find(event.request);
    if (!policy_ || !request || !is_pending_attempt(*request, event.attempt)) return;
    // The endpoint list may have changed while the connection came up.
    if (!accepts_new_requests(request->server)) {
        close_server_connection(event.request, *request);
        return end_attempt(event.request, AttemptOutcome::not_sent);
    }
    request->line_sent = true;
    send(SendRequestLine{event.request, event.attempt, request->server, request->attempt_deadline - now_});
}

void SimulatedBalancer::handle(const AttemptEstablished& event) {
    ActiveRequest* request = find(event.request);
    if (!policy_ || !request || !is_pending_attempt(*request, event.attempt)) return;
    request->is_pending = false;
    request->is_established = true;
    send(AnswerClient{event.request, BalancerAnswer::established, {}});
    policy_->on_attempt_established(now_, event.request, event.attempt, now_ - request->attempt_started_at);
}

void SimulatedBalancer::handle(const AttemptEnded& event) {
    const ActiveRequest* request = find(event.request);
    if (!policy_ || !request || request->attempt != event.attempt) return;
    if (request->is_pending || request->is_established) end_attempt(event.request, event.outcome);
}

void SimulatedBalancer::handle(const LoadReported& event) {
    const ActiveRequest* request = find(event.request);
    if (!policy_ || !request || !request->is_established) return;
    policy_->on_load_report(now_, event.request, event.load_us_per_s);
}

void SimulatedBalancer::handle(const LatencyReported& event) {
    if (policy_) policy_->on_latency_report(now_, scenario::server_name(event.server), event.latency_ms);
}

void SimulatedBalancer::handle(const ServerSilent& event) {
    if (!policy_) return;
    std::vector<uint64_t> established;
    for (const auto& [id, request] : requests_)
        if (request.is_established && request.server == event.server) established.push_back(id);
    std::sort(established.begin(), established.end());
    for (const uint64_t id : established) {
        close_server_connection(id, requests_.at(id));
        end_attempt(id, AttemptOutcome::reset, true);
        perform_actions();
    }
}

void SimulatedBalancer::handle(const ConnectionSilent& event) {
    const ActiveRequest* request = find(event.request);
    if (!policy_ || !request || !request->is_established) return;
    close_server_connection(event.request, *request);
    end_attempt(event.request, AttemptOutcome::reset, true);
}

// ---- attempts ----

// The end of an established attempt is the end of its request: the client reconnects by itself.
void SimulatedBalancer::end_attempt(uint64_t id, AttemptOutcome outcome, bool is_silent) {
    ActiveRequest& request = requests_.at(id);
    const bool is_final = request.is_established;
    const int attempt = request.attempt.value();
    const Duration took = now_ - request.attempt_started_at;
    request.is_pending = false;
    if (is_final) {
        const bool is_migrated = is_silent || outcome == AttemptOutcome::cancelled;
        send(AnswerClient{id, is_migrated ? BalancerAnswer::migrated : BalancerAnswer::ended, {}});
        requests_.erase(id);
    }
    policy_->on_attempt_ended(now_, id, attempt, outcome, took, is_final);
}

void SimulatedBalancer::set_attempt_timer(TimePoint at, uint64_t request, int attempt) {
    timers_.push({at, next_order_++, AttemptTimer{request, attempt}});
}

// Two are set for an attempt: for its connect, and for its answer.
void SimulatedBalancer::on_attempt_timer(const AttemptTimer& timer) {
    const ActiveRequest* request = find(timer.request);
    if (!request || !is_pending_attempt(*request, timer.attempt)) return;
    if (request->line_sent && now_ < request->attempt_deadline) return;
    const AttemptOutcome outcome =
        request->line_sent ? AttemptOutcome::timed_out : AttemptOutcome::connect_failed;
    close_server_connection(timer.request, *request);
    end_attempt(timer.request, outcome);
}

// ---- outputs ----

void SimulatedBalancer::send(const BalancerCommand& command) {
    const DigestRow row = std::visit(DigestRowOf{now_}, command);
    digest_ = XXH64(&row, sizeof row, digest_);
    outputs_.push_back({now_, command});
}

void SimulatedBalancer::close_server_connection(uint64_t id, const ActiveRequest& request) {
    send(CloseServerConnection{id, request.attempt.value(), request.server});
}

// ---- the policy's actions, performed after it has returned ----

void SimulatedBalancer::start_attempt(RequestId id, const ServerId& server, Duration timeout) {
    pending_actions_.emplace_back(PendingAttempt{id, server, timeout});
}

void SimulatedBalancer::reject(RequestId id, Duration retry_after) {
    pending_actions_.emplace_back(AnswerClient{id, BalancerAnswer::rejected, retry_after});
}

void SimulatedBalancer::fail(RequestId id) {
    pending_actions_.emplace_back(AnswerClient{id, BalancerAnswer::failed, {}});
}

void SimulatedBalancer::migrate(RequestId id) {
    pending_actions_.emplace_back(AnswerClient{id, BalancerAnswer::migrated, {}});
}

void SimulatedBalancer::set_timer(TimePoint at, uint64_t token) {
    timers_.push({at, next_order_++, PolicyTimer{token}});
}

void SimulatedBalancer::send_gossip(int to, const std::string& bytes) {
    gossip_.push_back({now_, to, bytes});
}

void SimulatedBalancer::perform_actions() {
    while (!pending_actions_.empty()) {
        const PendingAction action = std::move(pending_actions_.front());
        pending_actions_.pop_front();
        std::visit([this](const auto& kind) { perform(kind); }, action);
    }
}

void SimulatedBalancer::perform(const AnswerClient& action) {
    const ActiveRequest* request = find(action.request);
    if (!request) return;
    if (action.answer == BalancerAnswer::migrated) close_server_connection(action.request, *request);
    send(action);
    requests_.erase(action.request);
}

void SimulatedBalancer::perform(const PendingAttempt& action) {
    ActiveRequest* request = find(action.request);
    if (!request) return;
    const int attempt = request->attempt ? *request->attempt + 1 : 0;
    request->attempt = attempt;
    request->server = server_index_of(action.server);
    request->attempt_started_at = now_;
    request->is_pending = true;
    request->line_sent = false;
    const Duration time_left = std::max(request->deadline - now_, Duration{});
    const Duration timeout = action.timeout.ns > 0 ? std::min(action.timeout, time_left) : time_left;
    request->attempt_deadline = now_ + timeout;
    if (!accepts_new_requests(request->server)) return end_attempt(action.request, AttemptOutcome::not_sent);
    send(ConnectToServer{action.request, attempt, request->server});
    set_attempt_timer(std::min(request->attempt_deadline, now_ + scenario_.connect_time), action.request,
                      attempt);
    set_attempt_timer(request->attempt_deadline, action.request, attempt);
}

}  // namespace headrouter::simulation
