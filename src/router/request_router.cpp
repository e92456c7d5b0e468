#include "router/request_router.h"

#include <utility>
#include <vector>

#include "downstream/reply_lines.h"

namespace headrouter {

RequestRouter::RequestRouter(ClusterConfig config, uint64_t seed, DownstreamInterface& downstream,
                             UpstreamInterface& upstream, RouterEnvironment environment, Counters& counters,
                             Log& log)
    : config_(std::move(config)),
      downstream_(downstream),
      upstream_(upstream),
      environment_(std::move(environment)),
      counters_(counters),
      log_(log),
      setup_counters_(config_.request_class_names.size()),
      active_requests_(config_),
      adopter_(endpoints_, upstream_, environment_.now()),
      completion_(active_requests_, downstream_, upstream_, setup_counters_, counters_, log_),
      actions_(*this, environment_.set_timer),
      admission_(environment_, shutdown_, config_.policy),
      intake_(context(), admission_, recent_reconnects_),
      attempts_(context()),
      watchdog_(context()),
      drain_(context(), shutdown_),
      policy_(config_.policy, seed, actions_, environment_.now()) {}

RequestRouter::State RequestRouter::state() const {
    return {config_,
            endpoints_.state(),
            active_requests_.state(),
            adopter_.started_at(),
            recent_reconnects_.state(),
            policy_.state(),
            active_requests_.executed_ids().state()};
}

void RequestRouter::restore(State state) {
    config_ = std::move(state.config);
    endpoints_.restore(std::move(state.endpoints));
    active_requests_.restore(std::move(state.active_requests));
    active_requests_.restore_executed_ids(state.executed_ids);
    adopter_.set_started_at(state.started_at);
    recent_reconnects_.restore(state.recent_reconnects);
    policy_.restore(state.policy);
    setup_counters_.grow_to(config_.request_class_names.size());
}

RouterContext RequestRouter::context() {
    return {config_,          environment_, downstream_, upstream_, endpoints_,
            active_requests_, adopter_,     completion_, policy_,   actions_,
            setup_counters_,  counters_,    log_};
}

void RequestRouter::on_client_bytes(RequestId id, std::string_view bytes) {
    const ActiveRequest* request = active_requests_.find(id);
    if (!request || !request->is_established) return counters_.add(Counter::late_events);
    upstream_.forward(id, bytes);
    if (upstream_.unsent_bytes(id) > unsent_high_watermark) downstream_.pause_reading(id, true);
}

void RequestRouter::on_server_writable(RequestId id) {
    if (upstream_.unsent_bytes(id) <= unsent_high_watermark / 2) downstream_.pause_reading(id, false);
}

void RequestRouter::on_client_writable(RequestId id) {
    if (downstream_.unsent_bytes(id) <= unsent_high_watermark / 2) upstream_.pause_reading(id, false);
}

void RequestRouter::on_client_closed(RequestId id, CloseReason reason) {
    const ActiveRequest* request = active_requests_.find(id);
    if (!request) return counters_.add(Counter::late_events);
    const bool policy_knows = request->is_known_to_policy();
    const bool awaits_reply = !request->is_established;
    const std::string_view reply = may_client_retry(*request, config_.policy) ? busy_reply : error_reply;
    active_requests_.remove(id);
    counters_.add(Counter::requests_left_by_client);
    log_.debug("request_left", {{"request", id},
                                {"by", reason == CloseReason::fin ? "fin" : "reset"},
                                {"established", !awaits_reply}});
    upstream_.close(id, reason);
    // The client may have closed only its sending side and still be able to read a reply.
    if (awaits_reply && reason == CloseReason::fin) downstream_.reply(id, reply);
    if (policy_knows) policy_.on_client_gone(environment_.now(), id);
    actions_.perform_all();
}

void RequestRouter::on_early_client_data(RequestId id) {
    const ActiveRequest* request = active_requests_.find(id);
    if (!request || request->is_established) return counters_.add(Counter::late_events);
    const bool policy_knows = request->is_known_to_policy();
    counters_.add(Counter::malformed_client_lines);
    log_.debug("request_malformed", {{"request", id}, {"found", "client data before the reply"}});
    upstream_.close(id, CloseReason::fin);
    if (policy_knows) policy_.on_client_gone(environment_.now(), id);
    completion_.fail(id);
    actions_.perform_all();
}

void RequestRouter::on_server_bytes(RequestId id, std::string_view bytes, bool complete) {
    ActiveRequest* request = active_requests_.find(id);
    if (!request) return counters_.add(Counter::late_events);
    request->server_line_incomplete = !complete;
    downstream_.forward(id, bytes);
    if (downstream_.unsent_bytes(id) > unsent_high_watermark) upstream_.pause_reading(id, true);
    if (request->migration_pending && complete) completion_.migrate(id, environment_.now());
}

void RequestRouter::on_load_report(RequestId id, double load_us_per_s) {
    if (const ActiveRequest* request = active_requests_.find(id))
        log_.debug("load_report",
                   {{"request", id}, {"server", request->server}, {"load_us_per_s", load_us_per_s}});
    policy_.on_load_report(environment_.now(), id, load_us_per_s);
    actions_.perform_all();
}

void RequestRouter::on_latency_report(RequestId id, double latency_ms) {
    const ActiveRequest* request = active_requests_.find(id);
    if (!request || !request->is_established) return counters_.add(Counter::late_events);
    log_.debug("latency_report", {{"server", request->server}, {"latency_ms", latency_ms}});
    policy_.on_latency_report(environment_.now(), request->server, latency_ms);
    actions_.perform_all();
}

void RequestRouter::on_endpoints(EndpointUpdateKind kind, const EndpointUpdate& update) {
    endpoints_.apply(update);
    policy_.on_endpoints(environment_.now(), kind, update.endpoints());
    actions_.perform_all();
}

// A malformed message comes from another version or was damaged in transit.
void RequestRouter::on_gossip(int replica_index, const std::string& bytes) {
    const bool readable = policy_.on_gossip(environment_.now(), replica_index, bytes);
    counters_.add(readable ? Counter::gossip_received : Counter::gossip_malformed);
    actions_.perform_all();
}

void RequestRouter::on_timer(uint64_t token) {
    policy_.on_timer(environment_.now(), token);
    actions_.perform_all();
}

void RequestRouter::reconfigure(const ClusterConfig& config) {
    config_ = with_stable_indices(config_, config);
    setup_counters_.grow_to(config_.request_class_names.size());
    policy_.reconfigure(environment_.now(), config_.policy);
}

admin::MetricsSnapshot RequestRouter::metrics() const {
    return {config_.request_class_names, setup_counters_, active_requests_.size(), endpoints_.present_count(),
            static_cast<size_t>(policy_.count_unselectable(environment_.now()))};
}

void RequestRouter::on_tick() {
    const TimePoint now = environment_.now();
    watchdog_.check(now);
    if (shutdown_.is_draining(now)) drain_.step(now);
    actions_.perform_all();
}

void RequestRouter::begin_graceful_shutdown(Duration duration) {
    using Order = ShutdownSchedule::Order;
    const TimePoint now = environment_.now();
    const Order order = ShutdownSchedule::order_for(recent_reconnects_.sum(now), active_requests_.size());
    shutdown_.start(now, duration, order);
    log_.info("shutdown_started",
              {{"requests", active_requests_.size()}, {"order", order == Order::first ? "first" : "last"}});
}

// Reports the requests to the policy as gone, so that its state is correct if the next process dies, this one
// serves again and the requests come back to it one by one as their clients reconnect.
void RequestRouter::detach_all() {
    const TimePoint now = environment_.now();
    const std::vector<RequestId> known_to_policy = active_requests_.sorted_ids_if(
        [](const ActiveRequest& request) { return request.is_known_to_policy(); });
    active_requests_.clear();
    for (const RequestId id : known_to_policy) policy_.on_client_gone(now, id);
    actions_.clear();
}

void RequestRouter::perform(const RejectAction& action) {
    completion_.reject(action.request_id, busy_reply_after(action.retry_after));
}

void RequestRouter::perform(const FailAction& action) { completion_.fail(action.request_id); }

void RequestRouter::perform(const MigrateAction& action) {
    completion_.migrate(action.request_id, environment_.now());
}

}  // namespace headrouter
