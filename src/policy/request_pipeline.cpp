#include "policy/request_pipeline.h"

#include <algorithm>

#include "policy/cycle_clock.h"
#include "policy/rebalance_cycle.h"
#include "policy/retry_after.h"
#include "policy/retry_policy.h"

namespace headrouter {

namespace {

// Bounds of the timeout of an attempt that another one may follow: fractions of the setup objective and of
// the time left before the deadline.
constexpr double max_timeout_per_setup_objective = 0.6;
constexpr double max_timeout_per_time_left = 0.5;

template <class... Handlers>
struct Overloaded : Handlers... {
    using Handlers::operator()...;
};
template <class... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;

// Returns the time since the first attempt that may have run was sent. The request must have such an attempt.
Duration time_since_first_run(TimePoint now, const RequestState& request) {
    return now - request.attempts[*request.may_have_run].sent;
}

}  // namespace

RequestPipeline::RequestPipeline(const Parts& parts)
    : config_(parts.config),
      servers_(parts.servers),
      loads_(parts.loads),
      warmup_(parts.warmup),
      shares_(parts.shares),
      failovers_(parts.failovers),
      gossip_(parts.gossip),
      placement_(parts.placement),
      retry_budget_(parts.retry_budget),
      early_resets_(parts.early_resets),
      results_(parts.results),
      connections_(parts.connections),
      requests_(parts.requests),
      queue_(parts.queue),
      actions_(parts.actions),
      random_(parts.random) {}

void RequestPipeline::run(TimePoint now, RequestState& request) {
    const RequestId id = request.id;
    const Overloaded perform{
        [&](const PickResult::Complete& complete) { dispatch(now, request, complete.server); },
        [&](const PickResult::Queue&) { queue_.add(now, request); },
        [&](const PickResult::Reject& reject) {
            actions_.reject(id, reject.retry_after);
            requests_.erase(id);
        },
        [&](const PickResult::Fail&) {
            actions_.fail(id);
            requests_.erase(id);
        },
    };
    std::visit(perform, pick(now, request).result);
}

void RequestPipeline::run_queued(TimePoint now) {
    for (const RequestId id : queue_.take_all()) {
        const auto it = requests_.find(id);
        if (it == requests_.end() || !it->second.queued) continue;
        it->second.queued = false;
        run(now, it->second);
    }
}

PickResult RequestPipeline::pick(TimePoint now, RequestState& request) {
    const bool is_in_time = now < request.deadline;
    if (!is_in_time || !may_attempt(now, request)) return give_up(request);
    const PickResult placed = place(now, request);
    const bool is_queued = std::holds_alternative<PickResult::Queue>(placed.result);
    if (is_queued && !queue_.has_time_for(now, request)) return give_up(request);
    return placed;
}

bool RequestPipeline::may_attempt(TimePoint now, const RequestState& request) {
    if (static_cast<int>(request.attempts.size()) >= config_.max_attempts) return false;
    if (!request.may_have_run) return true;
    if (!retry_budget_.allows_retry(now)) return false;
    return retry_policy::allows_second_run(config_.request_classes[request.type],
                                           time_since_first_run(now, request));
}

std::optional<Duration> RequestPipeline::time_left_to_send(TimePoint now, const RequestState& request) const {
    if (!request.may_have_run) return std::nullopt;
    return retry_policy::time_left_for_second_run(config_.request_classes[request.type],
                                                  time_since_first_run(now, request));
}

PickResult RequestPipeline::place(TimePoint now, RequestState& request) {
    const FailoverTable::Entry* failover = request.key.empty() ? nullptr : failovers_.find(now, request.key);
    if (is_parked_at_server(now, request, failover)) return {PickResult::Complete{failover->server}};

    const FleetView fleet = shares_.view(now, &request);
    if (fleet.open_servers == 0) return {PickResult::Queue{}};

    const double load = loads_.load_of(request);
    const bool arrives_in_pause = failover && !failover->is_parked && cycle_clock::is_paused(now);
    std::optional<ServerIndex> failed_server;
    if (arrives_in_pause) failed_server = failover->server;
    const PlacementContext context{now, request, fleet, load, failed_server, gossip_.trust(now)};
    if (const auto cold = placement_.choose_cold(context)) return {PickResult::Complete{*cold}};

    if (is_shed_as_reconnect(now, request, fleet)) return give_up(request);
    const std::optional<ServerIndex> server = placement_.choose(context);
    if (!server) return give_up(request);

    const double load_then = loads_.load_on(servers_[*server]) + load;
    const double share = shares_.share(fleet, *server);
    request.is_protected = arrives_in_pause && load_then > share * RebalanceCycle::saturation_band;
    return {PickResult::Complete{*server}};
}

bool RequestPipeline::is_parked_at_server(TimePoint now, const RequestState& request,
                                          const FailoverTable::Entry* failover) const {
    if (!request.mid_stream || !request.attempts.empty()) return false;
    if (!failover || !failover->is_parked || now - failover->at >= config_.parked_connection_lifetime)
        return false;
    return servers_[failover->server].endpoint.state != EndpointState::removed;
}

bool RequestPipeline::is_shed_as_reconnect(TimePoint now, const RequestState& request,
                                           const FleetView& fleet) {
    const bool sees_few_servers = fleet.total_load < servers_.active_count();
    if (!sees_few_servers || !request.is_reconnect) return false;
    return random_.uniform() < early_resets_.rate(now);
}

PickResult RequestPipeline::give_up(const RequestState& request) {
    const bool may_client_retry = retry_policy::may_client_retry(
        config_.request_classes[request.type], request.may_have_run.has_value(),
        retry_policy::ClientRetryBasis::deduplication);
    if (!may_client_retry) return {PickResult::Fail{}};
    return {PickResult::Reject{random_retry_after(config_, random_)}};
}

void RequestPipeline::dispatch(TimePoint now, RequestState& request, ServerIndex server) {
    request.chosen_server = server;
    if (request.may_have_run) retry_budget_.on_retry(now);
    const Duration timeout = attempt_timeout(now, request);
    ServerState& state = servers_[server];
    request.attempts.push_back(Attempt{server, now, true, false});
    ++state.pending_attempts;
    state.outliers.count_sent();
    warmup_.on_attempt_sent(now, state);
    connections_.add(server, request);
    actions_.start_attempt(request.id, state.endpoint.server, timeout);
}

Duration RequestPipeline::attempt_timeout(TimePoint now, const RequestState& request) {
    const Duration left = request.deadline - now;
    const int attempts = static_cast<int>(request.attempts.size()) + 1;
    const bool is_last = attempts >= config_.max_attempts || !retry_budget_.allows_retry(now);
    if (is_last) return left;
    const Duration objective = config_.request_classes[request.type].setup_objective;
    return std::min(objective * max_timeout_per_setup_objective, left * max_timeout_per_time_left);
}

void RequestPipeline::on_attempt_ended(TimePoint now, RequestState& request, const AttemptEnd& end) {
    Attempt& attempt = request.attempts[end.number];
    attempt.pending = false;
    attempt.established = false;
    results_.record(now, request, end);
    if (!retry_policy::never_ran(end.outcome) && !request.may_have_run) request.may_have_run = end.number;
    if (end.is_final)
        requests_.erase(request.id);
    else
        run(now, request);
}

}  // namespace headrouter
