#include "policy/balancing_policy.h"

#include <algorithm>
#include <utility>

#include "policy/retry_after.h"
#include "policy/timers.h"

namespace headrouter {

const std::array<BalancingPolicy::Stage, 4> BalancingPolicy::pipeline_{
    {{&BalancingPolicy::check_deadline, &BalancingPolicy::on_check_deadline_result},
     {&BalancingPolicy::check_retry, &BalancingPolicy::on_check_retry_result},
     {&BalancingPolicy::place, &BalancingPolicy::on_place_result},
     {&BalancingPolicy::dispatch, &BalancingPolicy::on_dispatch_result}}};

BalancingPolicy::BalancingPolicy(PolicyConfig config, uint64_t seed, PolicyActions& actions, TimePoint now)
    : config_(std::move(config)), actions_(actions), random_(seed) {
    reconfigure(config_);
    rebalance_.start(now);
    if (config_.polls_endpoints) endpoints_.request(now);
}

void BalancingPolicy::reconfigure(PolicyConfig config) {
    config.replica_index = config_.replica_index;  // what was drawn from it stays
    config_ = std::move(config);
    const bool is_one_of_replicas = config_.replica_index < static_cast<uint64_t>(config_.replica_count);
    config_.gossip_enabled = config_.gossip_enabled && is_one_of_replicas;
    gossip_.configure();
    servers_.configure();
    message_objective_ = config_.shortest_message_objective();
}

void BalancingPolicy::run_pipeline(TimePoint now, RequestState& request) {
    for (const Stage& stage : pipeline_) {
        const Verdict verdict = (this->*stage.on_request)(now, request);
        if (verdict == Verdict::give_up) return give_up(request);
        if (verdict == Verdict::queue) return queue(now, request);
    }
}

// NOLINTNEXTLINE(readability-convert-member-functions-to-static): a stage is a pointer to a member.
BalancingPolicy::Verdict BalancingPolicy::check_deadline(TimePoint now, RequestState& request) {
    return now < request.deadline ? Verdict::next_stage : Verdict::give_up;
}

BalancingPolicy::Verdict BalancingPolicy::check_retry(TimePoint now, RequestState& request) {
    if (static_cast<int>(request.attempts.size()) >= config_.max_attempts) return Verdict::give_up;
    if (!request.may_have_run) return Verdict::next_stage;
    if (!retry_budget_.allows_retry(now)) return Verdict::give_up;
    const Duration since_sent = now - request.attempts[*request.may_have_run].sent;
    const bool may_run = retry_policy::allows_second_run(config_.request_classes[request.type], since_sent);
    return may_run ? Verdict::next_stage : Verdict::give_up;
}

BalancingPolicy::Verdict BalancingPolicy::place(TimePoint now, RequestState& request) {
    const FailoverTable::Entry* failover = request.key.empty() ? nullptr : failovers_.find(now, request.key);
    if (is_parked_at_server(now, request, failover)) {
        request.chosen_server = failover->server;
        return Verdict::next_stage;
    }
    const FleetView fleet = shares_.view(now, &request);
    if (fleet.open_servers == 0) return Verdict::queue;
    const double load = servers_.load_of(request);
    const bool is_back_in_pause = failover && !failover->is_parked && cycle_clock::is_paused(now);
    const int failed_server = is_back_in_pause ? failover->server : -1;
    const PlacementContext context{now, request, fleet, load, failed_server, gossip_.trust(now)};
    if (const int cold = placement_.choose_cold(context); cold >= 0) {
        request.chosen_server = cold;
        return Verdict::next_stage;
    }
    // Departure 15: with fewer connections than servers, this balancer does not see which of them hold.
    const bool is_blind = fleet.total_load < servers_.active_count();
    if (is_blind && request.is_reconnect && random_.uniform() < early_resets_.rate(now))
        return Verdict::give_up;
    const int server = placement_.choose(context);
    if (server < 0) return Verdict::give_up;
    request.chosen_server = server;
    const double load_then = servers_.load_on(servers_[server]) + load;
    const double share = shares_.share(fleet, server);
    request.is_protected = is_back_in_pause && load_then > share * RebalanceCycle::saturation_band;
    return Verdict::next_stage;
}

bool BalancingPolicy::is_parked_at_server(TimePoint now, const RequestState& request,
                                          const FailoverTable::Entry* failover) const {
    if (!request.mid_stream || !request.attempts.empty()) return false;
    if (!failover || !failover->is_parked || now - failover->at >= config_.park) return false;
    return servers_[failover->server].endpoint.state != EndpointState::removed;
}

BalancingPolicy::Verdict BalancingPolicy::dispatch(TimePoint now, RequestState& request) {
    if (request.may_have_run) retry_budget_.on_retry(now);
    const Duration timeout = attempt_timeout(now, request);
    const int chosen = *request.chosen_server;
    ServerState& server = servers_[chosen];
    request.attempts.push_back(Attempt{chosen, now, true, false});
    ++server.pending_attempts;
    server.outliers.count_sent();
    if (servers_.is_cold(now, server)) server.slow_start.use_permit();
    add_connection(chosen, request);
    actions_.start_attempt(request.id, server.endpoint.server, timeout);
    return Verdict::next_stage;
}

Duration BalancingPolicy::attempt_timeout(TimePoint now, const RequestState& request) {
    const Duration left = request.deadline - now;
    const int attempts = static_cast<int>(request.attempts.size()) + 1;
    const bool is_last = attempts >= config_.max_attempts || !retry_budget_.allows_retry(now);
    if (is_last) return left;
    const Duration objective = config_.request_classes[request.type].setup_objective;
    return std::min(objective * timeout_of_objective, left * timeout_of_time_left);
}

void BalancingPolicy::on_place_result(TimePoint now, RequestState& request, const AttemptResult& result) {
    const Attempt& attempt = request.attempts[result.attempt];
    const AttemptOutcome outcome = result.outcome;
    if (result.was_established && outcome == AttemptOutcome::cancelled && config_.passthrough)
        failovers_.record(now, request.key, attempt.server, true);
    if (outcome == AttemptOutcome::cancelled || outcome == AttemptOutcome::not_sent) return;
    if (result.was_established && outcome == AttemptOutcome::reset) early_resets_.on_reset(now, attempt.sent);
    if (outcome == AttemptOutcome::completed) return;
    if (result.was_established) return servers_.record_reset(now, attempt.server);
    if (attempt.sent >= cycle_clock::cycle_start(now)) servers_[attempt.server].outliers.count_lost();
    const bool was_full = outcome == AttemptOutcome::at_capacity;
    const double penalty = was_full ? OutlierDetector::penalty_at_capacity : OutlierDetector::penalty_failed;
    servers_.record_failure(now, attempt.server, penalty);
    failovers_.record(now, request.key, attempt.server, false);
}

void BalancingPolicy::give_up(RequestState& request) {
    if (retry_policy::may_client_retry(config_.request_classes[request.type],
                                       request.may_have_run.has_value(),
                                       retry_policy::ClientRetryBasis::deduplication))
        actions_.reject(request.id, random_retry_after(config_, random_));
    else
        actions_.fail(request.id);
    forget(request.id);
}

void BalancingPolicy::queue(TimePoint now, RequestState& request) {
    if (request.deadline - now <= queue_interval + config_.step * 2) return give_up(request);
    if (!request.queued) queued_.push_back(request.id);
    request.queued = true;
    if (!has_queue_timer_) actions_.set_timer(now + queue_interval, timer_token(TimerKind::retry_queued));
    has_queue_timer_ = true;
}

void BalancingPolicy::retry_queued(TimePoint now) {
    has_queue_timer_ = false;
    std::deque<RequestId> waiting;
    waiting.swap(queued_);
    for (const RequestId id : waiting) {
        const auto it = requests_.find(id);
        if (it == requests_.end() || !it->second.queued) continue;
        it->second.queued = false;
        run_pipeline(now, it->second);
    }
}

void BalancingPolicy::on_request(TimePoint now, Request request) {
    retry_budget_.on_request(now);
    if (!request.is_reconnect) gossip_.earn_credit();
    RequestState& kept = keep(std::move(request));
    run_pipeline(now, kept);
}

RequestState& BalancingPolicy::keep(Request request) {
    const RequestId id = request.id;
    RequestState& kept = requests_[id];
    kept = RequestState(std::move(request));
    servers_.learn_hinted_load(kept);
    return kept;
}

void BalancingPolicy::on_request_adopted(TimePoint now, Request request, const ServerId& id) {
    int server = servers_.find(id);
    if (server < 0) server = apply_endpoint(now, Endpoint{id, 1, EndpointState::removed, 0, 0, {}});
    RequestState& kept = keep(std::move(request));
    kept.attempts.push_back(Attempt{server, now, false, true});
    kept.may_have_run = 0;
    early_resets_.on_established(now);
    const int first_server = kept.attempts.front().server;
    add_connection(first_server, kept);
    gossip_.on_group_placed(now, kept.group, first_server);
}

void BalancingPolicy::on_client_gone(TimePoint, RequestId id) {
    const auto it = requests_.find(id);
    if (it == requests_.end()) return;
    RequestState& request = it->second;
    if (!request.attempts.empty() && request.attempts.back().pending)
        --servers_[request.attempts.back().server].pending_attempts;
    remove_connection(request);
    forget(id);
}

void BalancingPolicy::on_attempt_established(TimePoint now, RequestId id, int number, Duration) {
    RequestState* request = find_request(id, number);
    if (!request || !request->attempts[number].pending) return;
    Attempt& attempt = request->attempts[number];
    attempt.pending = false;
    attempt.established = true;
    if (!request->may_have_run) request->may_have_run = number;
    early_resets_.on_established(now);
    servers_.record_established(now, attempt.server);
    gossip_.on_group_placed(now, request->group, attempt.server);
}

void BalancingPolicy::on_attempt_ended(TimePoint now, RequestId id, int number, AttemptOutcome outcome,
                                       Duration, bool is_final, const LoadReport&) {
    RequestState* request = find_request(id, number);
    if (!request) return;
    const Attempt& attempt = request->attempts[number];
    if (!attempt.pending && !attempt.established) return;
    if (attempt.pending) --servers_[attempt.server].pending_attempts;
    remove_connection(*request);
    const AttemptResult result{number, outcome, is_final, attempt.established};
    // NOLINTNEXTLINE(modernize-loop-convert): clang 14 cannot take std::views::reverse of this library.
    for (auto stage = pipeline_.rbegin(); stage != pipeline_.rend(); ++stage)
        (this->*stage->on_result)(now, *request, result);
    if (!is_final) run_pipeline(now, *request);
}

void BalancingPolicy::on_load_report(TimePoint, RequestId id, double micros) {
    const auto it = requests_.find(id);
    if (it == requests_.end() || !it->second.connection_index || !(micros >= 0)) return;
    servers_.record_load(it->second, micros);
}

void BalancingPolicy::on_latency_report(TimePoint now, const ServerId& id, double millis) {
    const int server = servers_.find(id);
    if (server < 0) return;
    const LoadLimit::Surplus surplus =
        servers_.record_latency(now, server, millis / 1000, message_objective_, random_);
    if (surplus.connections > 0)
        rebalance_.start_drain(now, server, surplus.load, surplus.connections, slow_server_drain);
}

void BalancingPolicy::remove_connection(RequestState& request) {
    const std::optional<int> index = request.connection_index;
    if (!index) return;
    const std::optional<RequestId> replacement = servers_.remove_connection(request);
    if (replacement) requests_.at(*replacement).connection_index = index;
    if (!request.group.empty()) groups_.remove(request.group, request.attempts.back().server);
}

void BalancingPolicy::migrate_next(TimePoint now, int server) {
    const RequestId id = rebalance_.select(now, server);
    if (!id) return;
    RequestState& request = requests_.at(id);
    const double load = servers_.load_of(request);
    migrate(request);
    rebalance_.on_migrated(now, server, load);
}

void BalancingPolicy::on_endpoints(TimePoint now, EndpointUpdateKind kind,
                                   const std::vector<Endpoint>& endpoints) {
    if (kind == EndpointUpdateKind::error) return endpoints_.on_error(now);
    endpoints_.on_update(kind);
    servers_.begin_update();
    for (const Endpoint& endpoint : endpoints) apply_endpoint(now, endpoint);
    servers_.end_update(now, kind != EndpointUpdateKind::delta);
}

int BalancingPolicy::apply_endpoint(TimePoint now, const Endpoint& endpoint) {
    const ServerTable::Applied applied = servers_.apply(endpoint);
    if (applied.is_new) gossip_.add_server(endpoint.server, applied.server);
    const bool starts = applied.is_restarted || (applied.is_new && endpoint.launched);
    // Later than now only by a wall clock that was stepped: the server would count as cold until that time.
    if (starts) servers_.begin_slow_start(now, applied.server, std::min(*endpoint.launched, now));
    if (applied.is_restarted) replace_process(applied.server);
    return applied.server;
}

void BalancingPolicy::replace_process(int server) {
    ServerState& state = servers_[server];
    state.outliers.on_restart();
    state.drain.forget_excess();
    gossip_.forget_locations(server);
    const std::vector<RequestId> connections = state.connections;
    for (const RequestId id : connections) {
        RequestState& request = requests_.at(id);
        const Attempt& attempt = request.attempts.back();
        if (attempt.established && attempt.sent < *state.slow_start.started()) migrate(request);
    }
}

void BalancingPolicy::on_timer(TimePoint now, uint64_t token) {
    switch (kind_of_timer(token)) {
        case TimerKind::cycle_begins: return rebalance_.begin(now);
        case TimerKind::plan_migrations: return rebalance_.plan_migrations(now);
        case TimerKind::migrate_next: return migrate_next(now, server_of_timer(token));
        case TimerKind::retry_queued: return retry_queued(now);
        case TimerKind::retry_watch: return endpoints_.on_retry_timer(now);
        case TimerKind::gossip_round: return gossip_.begin_round(now);
        case TimerKind::gossip_sum: return gossip_.sum_round(now);
        case TimerKind::publish_locations: return gossip_.publish_locations();
        case TimerKind::publish_headroom: return gossip_.publish_headroom(now);
        default: return;
    }
}

}  // namespace headrouter
