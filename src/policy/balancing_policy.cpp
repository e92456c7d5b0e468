#include "policy/balancing_policy.h"

#include <algorithm>
#include <utility>

#include "policy/subset_draw.h"
#include "policy/timers.h"

namespace headrouter {

BalancingPolicy::BalancingPolicy(PolicyConfig config, uint64_t seed, PolicyActions& actions, TimePoint now)
    : config_(std::move(config)), actions_(actions), random_(seed) {
    reconfigure(config_);
    rebalance_.start(now);
    if (config_.polls_endpoints) endpoints_.request(now);
}

BalancingPolicy::State BalancingPolicy::state() const {
    State state;
    state.config = config_;
    state.random = random_.state();
    state.requests = requests_;
    state.message_objective = message_objective_;
    state.retry_budget = retry_budget_.state();
    state.early_resets = early_resets_.state();
    state.servers = servers_.state();
    state.loads = loads_.state();
    state.warmup = warmup_.state();
    state.degraded = degraded_.state();
    state.failovers = failovers_.state();
    state.groups = groups_.state();
    state.rankings = rankings_.state();
    state.endpoints = endpoints_.state();
    state.gossip = gossip_.state();
    state.queue = queue_.state();
    return state;
}

void BalancingPolicy::restore(State state) {
    config_ = std::move(state.config);
    random_.restore(state.random);
    requests_ = std::move(state.requests);
    message_objective_ = state.message_objective;
    retry_budget_.restore(state.retry_budget);
    early_resets_.restore(state.early_resets);
    servers_.restore(std::move(state.servers));
    loads_.restore(std::move(state.loads));
    warmup_.restore(state.warmup);
    degraded_.restore(std::move(state.degraded));
    failovers_.restore(std::move(state.failovers));
    groups_.restore(std::move(state.groups));
    rankings_.restore(std::move(state.rankings));
    endpoints_.restore(state.endpoints);
    gossip_.restore(std::move(state.gossip));
    queue_.restore(std::move(state.queue));
}

void BalancingPolicy::reconfigure(PolicyConfig config) {
    config.replica_index = config_.replica_index;  // values already derived from the index stay valid
    config_ = std::move(config);
    const bool is_one_of_replicas = config_.replica_index < static_cast<uint64_t>(config_.replica_count);
    config_.gossip_enabled = config_.gossip_enabled && is_one_of_replicas;
    gossip_.configure();
    draw_subset(config_, servers_);
    loads_.configure();
    message_objective_ = config_.shortest_message_objective();
}

void BalancingPolicy::on_request(TimePoint now, Request request) {
    retry_budget_.on_request(now);
    if (!request.is_reconnect) gossip_.earn_credit();
    pipeline_.run(now, add_request(std::move(request)));
}

void BalancingPolicy::on_request_adopted(TimePoint now, Request request, const ServerId& id) {
    const std::optional<ServerIndex> known = servers_.find(id);
    const ServerIndex server =
        known ? *known : endpoint_updater_.apply(now, Endpoint{id, 1, EndpointState::removed, 0, 0, {}});
    RequestState& adopted = add_request(std::move(request));
    adopted.attempts.push_back(Attempt{server, now, false, true});
    adopted.may_have_run = 0;
    early_resets_.on_established(now);
    connections_.add(server, adopted);
    gossip_.on_group_placed(now, adopted.group, server);
}

void BalancingPolicy::on_client_gone(TimePoint, RequestId id) {
    const auto it = requests_.find(id);
    if (it == requests_.end()) return;
    RequestState& request = it->second;
    if (!request.attempts.empty() && request.attempts.back().pending)
        --servers_[request.attempts.back().server].pending_attempts;
    connections_.remove(request);
    requests_.erase(it);
}

void BalancingPolicy::on_attempt_established(TimePoint now, RequestId id, int number, Duration) {
    RequestState* request = find_request(id, number);
    if (!request || !request->attempts[number].pending) return;
    Attempt& attempt = request->attempts[number];
    attempt.pending = false;
    attempt.established = true;
    if (!request->may_have_run) request->may_have_run = number;
    early_resets_.on_established(now);
    health_.record_established(now, attempt.server);
    gossip_.on_group_placed(now, request->group, attempt.server);
}

void BalancingPolicy::on_attempt_ended(TimePoint now, RequestId id, int number, AttemptOutcome outcome,
                                       Duration, bool is_final, const LoadReport&) {
    RequestState* request = find_request(id, number);
    if (!request) return;
    const Attempt& attempt = request->attempts[number];
    if (!attempt.pending && !attempt.established) return;
    if (attempt.pending) --servers_[attempt.server].pending_attempts;
    connections_.remove(*request);
    pipeline_.on_attempt_ended(now, *request, {number, outcome, attempt.established, is_final});
}

void BalancingPolicy::on_load_report(TimePoint, RequestId id, double micros) {
    const auto it = requests_.find(id);
    if (it == requests_.end() || !it->second.connection_index || !(micros >= 0)) return;
    loads_.record_load(it->second, micros);
}

void BalancingPolicy::on_latency_report(TimePoint now, const ServerId& id, double millis) {
    const std::optional<ServerIndex> server = servers_.find(id);
    if (!server) return;
    const LoadLimit::Surplus surplus =
        health_.record_latency(now, *server, millis / 1000, message_objective_, random_);
    if (surplus.connections > 0)
        rebalance_.start_drain(now, *server, surplus.load, surplus.connections, slow_server_drain);
}

void BalancingPolicy::migrate_next(TimePoint now, ServerIndex server) {
    const RequestId id = rebalance_.select(now, server);
    if (!id) return;
    RequestState& request = requests_.at(id);
    const double load = loads_.load_of(request);
    connections_.migrate(request);
    rebalance_.on_migrated(now, server, load);
}

void BalancingPolicy::on_endpoints(TimePoint now, EndpointUpdateKind kind,
                                   const std::vector<Endpoint>& endpoints) {
    if (kind == EndpointUpdateKind::error) return endpoints_.on_error(now);
    endpoints_.on_update(kind);
    endpoint_updater_.apply_update(now, endpoints, kind != EndpointUpdateKind::delta);
}

void BalancingPolicy::on_timer(TimePoint now, uint64_t token) {
    switch (kind_of_timer(token)) {
        case TimerKind::cycle_begins: return rebalance_.begin(now);
        case TimerKind::plan_migrations: return rebalance_.plan_migrations(now);
        case TimerKind::migrate_next: return migrate_next(now, server_of_timer(token));
        case TimerKind::retry_queued: return pipeline_.run_queued(now);
        case TimerKind::retry_watch: return endpoints_.on_retry_timer(now);
        case TimerKind::gossip_round: return gossip_.begin_round(now);
        case TimerKind::gossip_sum: return gossip_.sum_round(now);
        case TimerKind::publish_locations: return gossip_.publish_locations();
        case TimerKind::publish_headroom: return gossip_.publish_headroom(now);
        default: return;
    }
}

std::optional<Duration> BalancingPolicy::time_left_to_send(TimePoint now, RequestId id) const {
    const auto it = requests_.find(id);
    return it == requests_.end() ? Duration{} : pipeline_.time_left_to_send(now, it->second);
}

RequestState* BalancingPolicy::find_request(RequestId id, int attempt) {
    const auto it = requests_.find(id);
    if (it == requests_.end()) return nullptr;
    const bool has_attempt = attempt >= 0 && attempt < static_cast<int>(it->second.attempts.size());
    return has_attempt ? &it->second : nullptr;
}

RequestState& BalancingPolicy::add_request(Request request) {
    RequestState& added = requests_[request.id];
    added = RequestState(std::move(request));
    loads_.learn_hinted_load(added);
    return added;
}

}  // namespace headrouter
