#include "router/request_router.h"

#include <algorithm>
#include <functional>
#include <utility>

#include "downstream/reply_lines.h"
#include "policy/retry_policy.h"
#include "transport/line_text.h"

namespace headrouter {

namespace {
// The client waits from when it sent its line, and its answer has a way to go as well.
constexpr Duration reply_margin = millis(10);

// A request that has no answer so long after its deadline is answered without the policy, whatever went
// wrong.
constexpr Duration overdue_after = millis(15);

// How long a migration waits for the end of the line that the server has begun.
constexpr Duration max_migration_wait = seconds(0.5);

constexpr int64_t ns_per_ms = 1'000'000;

Counter counter_of(AttemptOutcome outcome) {
    switch (outcome) {
        case AttemptOutcome::error: return Counter::attempts_error;
        case AttemptOutcome::at_capacity: return Counter::attempts_at_capacity;
        case AttemptOutcome::timed_out: return Counter::attempts_timed_out;
        case AttemptOutcome::connect_failed: return Counter::attempts_connect_failed;
        case AttemptOutcome::reset: return Counter::attempts_reset;
        case AttemptOutcome::not_sent: return Counter::attempts_not_sent;
        default: return Counter::attempts_cancelled;
    }
}

std::string_view name_of(AttemptOutcome outcome) {
    switch (outcome) {
        case AttemptOutcome::completed: return "completed";
        case AttemptOutcome::error: return "error";
        case AttemptOutcome::at_capacity: return "at_capacity";
        case AttemptOutcome::timed_out: return "timed_out";
        case AttemptOutcome::connect_failed: return "connect_failed";
        case AttemptOutcome::reset: return "reset";
        case AttemptOutcome::cancelled: return "cancelled";
        case AttemptOutcome::not_sent: return "not_sent";
    }
    return "unknown";
}
}  // namespace

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
      adopter_(endpoints_, upstream_, environment_.now()),
      completion_(active_requests_, downstream_, upstream_, setup_counters_, counters_, log_),
      admission_(environment_, shutdown_, config_.policy),
      actions_(*this, environment_.set_timer),
      policy_(config_.policy, seed, actions_, environment_.now()) {}

// ---- events of the clients ----

void RequestRouter::on_request_line(RequestId id, std::string_view line) {
    Result<RequestLine, RequestLineError> parsed = parse_request_line(line, config_);
    if (!parsed) return refuse_malformed(id, line, parsed.error());
    if (active_requests_.has_wire_id(parsed->wire_id)) {
        // Servers know the id too: each of them would turn the line away and be penalized for it.
        counters_.add(Counter::ids_open_already);
        return refuse_malformed(id, line, RequestLineError::id_in_use);
    }
    const TimePoint now = environment_.now();
    const bool is_new = parsed->established_at.empty();
    const auto origin = is_new ? AdmissionControl::RequestOrigin::new_request
                               : AdmissionControl::RequestOrigin::established_before;
    if (const std::optional<AdmissionRejection> rejection = admission_.check(origin, now))
        return reject(id, *parsed, *rejection);
    if (is_new)
        accept(id, std::move(*parsed), now);
    else
        adopt(id, std::move(*parsed), now);
}

void RequestRouter::refuse_malformed(RequestId id, std::string_view line, RequestLineError error) {
    counters_.add(Counter::malformed_client_lines);
    log_.debug("request_malformed",
               {{"request", id}, {"found", describe(error)}, {"line", trim_line_end(line)}});
    downstream_.reply(id, error_reply);
}

void RequestRouter::reject(RequestId id, const RequestLine& request_line,
                           const AdmissionRejection& rejection) {
    counters_.add(rejection.counter);
    log_.debug("request_refused", {{"request", id}, {"reason", rejection.reason}});
    setup_counters_.add(admin::SetupOutcome::declined, request_line.request.type);
    downstream_.reply(id, busy_reply_after(rejection.retry_after));
}

void RequestRouter::accept(RequestId id, RequestLine request_line, TimePoint now) {
    ActiveRequest& active = active_requests_.add(id, std::move(request_line));
    Request& request = active.request_line.request;
    const Duration wait = active.request_line.wait;
    request.id = id;
    request.deadline = now + wait - std::min(reply_margin, wait * 0.5);
    counters_.add(Counter::requests_accepted);
    recent_reconnects_.add(now, request.is_reconnect);
    policy_.on_request(now, request);
    actions_.perform_all();
}

void RequestRouter::adopt(RequestId id, RequestLine request_line, TimePoint now) {
    ActiveRequest& active = active_requests_.add(id, std::move(request_line));
    Request& request = active.request_line.request;
    active.is_adopted = true;
    request.id = id;
    request.deadline = now + adopter_.time_limit(now);
    adopter_.connect(id, active, now);
}

void RequestRouter::on_client_bytes(RequestId id, std::string_view bytes) {
    const ActiveRequest* request = active_requests_.find(id);
    if (!request || !request->is_established) return counters_.add(Counter::late_events);
    upstream_.forward(id, bytes);
    if (upstream_.unsent_bytes(id) > unsent_high_watermark) downstream_.pause_reading(id, true);
}

void RequestRouter::on_server_drained(RequestId id) {
    if (upstream_.unsent_bytes(id) <= unsent_high_watermark / 2) downstream_.pause_reading(id, false);
}

void RequestRouter::on_client_drained(RequestId id) {
    if (downstream_.unsent_bytes(id) <= unsent_high_watermark / 2) upstream_.pause_reading(id, false);
}

void RequestRouter::on_client_closed(RequestId id, CloseReason reason) {
    const ActiveRequest* request = active_requests_.find(id);
    if (!request) return counters_.add(Counter::late_events);
    const bool policy_knows = request->is_established || !request->is_adopted;
    const bool awaits_reply = !request->is_established;
    const std::string_view reply = may_client_retry(*request) ? busy_reply : error_reply;
    active_requests_.remove(id);
    counters_.add(Counter::requests_left_by_client);
    log_.debug("request_left", {{"request", id},
                                {"by", reason == CloseReason::fin ? "fin" : "reset"},
                                {"established", !awaits_reply}});
    upstream_.close(id, reason);
    // The client may have closed its sending side only.
    if (awaits_reply && reason == CloseReason::fin) downstream_.reply(id, reply);
    if (policy_knows) policy_.on_client_gone(environment_.now(), id);
    actions_.perform_all();
}

bool RequestRouter::may_client_retry(const ActiveRequest& request) const {
    return retry_policy::may_client_retry(config_.policy.request_classes[request.request_line.request.type],
                                          request.may_have_run,
                                          retry_policy::ClientRetryBasis::execution_only);
}

void RequestRouter::on_early_client_data(RequestId id) {
    const ActiveRequest* request = active_requests_.find(id);
    if (!request || request->is_established) return counters_.add(Counter::late_events);
    const bool policy_knows = !request->is_adopted;
    counters_.add(Counter::malformed_client_lines);
    log_.debug("request_malformed", {{"request", id}, {"found", "bytes before the reply"}});
    upstream_.close(id, CloseReason::fin);
    if (policy_knows) policy_.on_client_gone(environment_.now(), id);
    completion_.fail(id);
    actions_.perform_all();
}

// ---- events of the servers ----

// What the loop has not read yet counts as well: after a second in which this process did not run, the end of
// a client may still wait in the kernel when the connection to the server comes up.
bool RequestRouter::may_send(RequestId id) {
    downstream_.poll_now(id);
    const ActiveRequest* request = active_requests_.find(id);
    if (!request) return false;
    if (request->is_adopted) return true;
    return endpoints_.is_active(request->server) && !environment_.is_endpoint_list_outdated();
}

void RequestRouter::on_attempt_written(RequestId id) {
    ActiveRequest* request = active_requests_.find(id);
    if (!request) return counters_.add(Counter::late_events);
    request->may_have_run_before_attempt = request->may_have_run;
    request->may_have_run = true;
    setup_counters_.add_forward();
}

void RequestRouter::on_attempt_established(RequestId id, std::string_view line) {
    ActiveRequest* request = active_requests_.find(id);
    if (!request || !request->attempt) return counters_.add(Counter::late_events);
    request->is_established = true;
    log_.debug("request_established", {{"request", id}, {"server", request->server}});
    counters_.add(request->is_adopted ? Counter::requests_adopted : Counter::requests_established);
    completion_.record_setup(*request, admin::SetupOutcome::succeeded);
    downstream_.forward(id, line);
    const TimePoint now = environment_.now();
    if (request->is_adopted)
        policy_.on_request_adopted(now, request->request_line.request, request->server);
    else
        policy_.on_attempt_established(now, id, *request->attempt, now - request->attempt_started_at);
    actions_.perform_all();
    downstream_.start(id);
}

void RequestRouter::on_server_bytes(RequestId id, std::string_view bytes, bool complete) {
    ActiveRequest* request = active_requests_.find(id);
    if (!request) return counters_.add(Counter::late_events);
    request->in_mid_line = !complete;
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

void RequestRouter::on_attempt_ended(RequestId id, const AttemptResult& result) {
    ActiveRequest* request = active_requests_.find(id);
    if (!request || !request->attempt) return counters_.add(Counter::late_events);
    const TimePoint now = environment_.now();
    const Duration duration = now - request->attempt_started_at;
    request->attempt_running = false;
    // The attempt was turned away, so it did not run. Whether an earlier one may have is what counts again.
    if (result.outcome == AttemptOutcome::at_capacity)
        request->may_have_run = request->may_have_run_before_attempt;
    log_attempt_ended(id, *request, result, duration);
    if (request->is_adopted && !request->is_established) return RequestAdopter::schedule_retry(*request, now);

    const bool completed = result.outcome == AttemptOutcome::completed;
    const bool is_last = request->is_established || completed;
    const int attempt = *request->attempt;
    if (completed)
        counters_.add(Counter::requests_completed);
    else
        counters_.add(request->is_established ? Counter::requests_broken : counter_of(result.outcome));
    if (is_last) close_after_last_attempt(id, *request, result);
    policy_.on_attempt_ended(now, id, attempt, result.outcome, duration, is_last, {});
    actions_.perform_all();
}

void RequestRouter::log_attempt_ended(RequestId id, const ActiveRequest& request, const AttemptResult& result,
                                      Duration duration) {
    log_.debug("attempt_ended", {{"request", id},
                                 {"server", request.server},
                                 {"attempt", *request.attempt},
                                 {"adopted", request.is_adopted},
                                 {"established", request.is_established},
                                 {"outcome", name_of(result.outcome)},
                                 {"silent", result.server_silent},
                                 {"reply", trim_line_end(result.reply)},
                                 {"duration_ms", duration.ns / ns_per_ms}});
}

// Hands the end of the server's connection on to the client.
void RequestRouter::close_after_last_attempt(RequestId id, const ActiveRequest& request,
                                             const AttemptResult& result) {
    const bool was_established = request.is_established;
    const bool may_migrate = result.server_silent && !request.in_mid_line;
    // To its client, a request that ended before it was established has failed.
    if (!was_established) completion_.record_setup(request, admin::SetupOutcome::aborted);
    active_requests_.remove(id);
    if (!was_established)
        downstream_.reply(id, result.reply);
    else if (may_migrate)
        downstream_.reply(id, move_reply);
    else
        downstream_.close(id, result.close_reason);
}

// ---- events of discovery, other balancers and timers ----

void RequestRouter::on_endpoints(EndpointUpdateKind kind, const EndpointUpdate& update) {
    endpoints_.apply(update);
    policy_.on_endpoints(environment_.now(), kind, update.endpoints());
    actions_.perform_all();
}

// What cannot be read is another version's, or was damaged on the way.
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
            static_cast<size_t>(policy_.avoided(environment_.now()))};
}

// ---- deadlines ----

void RequestRouter::on_tick() {
    const TimePoint now = environment_.now();
    const DueRequests due = find_due(now);
    for (const RequestId id : due.overdue) fail_overdue(id, now);
    for (const RequestId id : due.stuck_migrations) {
        active_requests_.remove(id);
        upstream_.close(id, CloseReason::fin);
        downstream_.close(id, CloseReason::fin);
    }
    for (const RequestId id : due.adoption_retries) adopter_.connect(id, *active_requests_.find(id), now);
    if (shutdown_.is_draining(now)) drain(now);
    actions_.perform_all();
}

RequestRouter::DueRequests RequestRouter::find_due(TimePoint now) const {
    DueRequests due;
    active_requests_.for_each([&](RequestId id, const ActiveRequest& request) {
        if (request.is_established) {
            if (request.migration_pending && now - request.migration_requested_at > max_migration_wait)
                due.stuck_migrations.push_back(id);
        } else if (now > request.request_line.request.deadline + overdue_after) {
            due.overdue.push_back(id);
        } else if (RequestAdopter::is_retry_due(request, now)) {
            due.adoption_retries.push_back(id);
        }
    });
    for (std::vector<RequestId>* ids : {&due.overdue, &due.stuck_migrations, &due.adoption_retries})
        std::sort(ids->begin(), ids->end());
    return due;
}

void RequestRouter::fail_overdue(RequestId id, TimePoint now) {
    const bool policy_knows = !active_requests_.find(id)->is_adopted;
    counters_.add(Counter::answers_overdue);
    const TimePoint deadline = active_requests_.find(id)->request_line.request.deadline;
    log_.warning("answer_overdue", {{"request", id}, {"late_ms", (now - deadline).ns / ns_per_ms}});
    upstream_.close(id, CloseReason::fin);
    if (policy_knows) policy_.on_client_gone(now, id);
    completion_.fail(id);
}

// ---- the end of this process ----

void RequestRouter::begin_graceful_shutdown(Duration duration) {
    using Order = ShutdownSchedule::Order;
    const TimePoint now = environment_.now();
    const Order order = ShutdownSchedule::order_for(recent_reconnects_.sum(now), active_requests_.size());
    shutdown_.start(now, duration, order);
    log_.info("shutdown_started",
              {{"requests", active_requests_.size()}, {"order", order == Order::first ? "first" : "last"}});
}

void RequestRouter::drain(TimePoint now) {
    const auto is_established = [](const ActiveRequest& request) { return request.is_established; };
    std::vector<RequestId> established = active_requests_.sorted_ids_if(is_established);
    established.resize(shutdown_.migrations_due(now, established.size()));
    for (const RequestId id : established) {
        policy_.on_client_gone(now, id);
        completion_.migrate(id, now);
    }
    if (!shutdown_.is_over(now)) return;
    for (const RequestId id : active_requests_.sorted_ids_if(std::not_fn(is_established)))
        end_unestablished(id, now);
}

void RequestRouter::end_unestablished(RequestId id, TimePoint now) {
    upstream_.close(id, CloseReason::fin);
    const ActiveRequest& request = *active_requests_.find(id);
    const bool may_retry = may_client_retry(request);
    if (!request.is_adopted) policy_.on_client_gone(now, id);
    if (may_retry)
        completion_.reject(id, busy_reply);
    else
        completion_.fail(id);
}

// The policy hears that the requests are gone, so that it is of use should they come back here one by one.
void RequestRouter::detach_all() {
    const TimePoint now = environment_.now();
    const std::vector<RequestId> known_to_policy = active_requests_.sorted_ids_if(
        [](const ActiveRequest& request) { return request.is_established || !request.is_adopted; });
    active_requests_.clear();
    for (const RequestId id : known_to_policy) policy_.on_client_gone(now, id);
    actions_.clear();
}

// ---- the policy's actions ----

void RequestRouter::perform(const StartAttemptAction& action) {
    const RequestId id = action.request_id;
    ActiveRequest* request = active_requests_.find(id);
    if (!request || request->is_established) return counters_.add(Counter::late_events);
    const TimePoint now = environment_.now();
    counters_.must_hold(!request->attempt_running);
    request->attempt = request->attempt ? *request->attempt + 1 : 0;
    request->server = action.server;
    request->attempt_started_at = now;
    request->attempt_running = true;
    const Duration time_left = std::max(request->request_line.request.deadline - now, Duration{});
    const Duration timeout = action.timeout.ns > 0 ? std::min(action.timeout, time_left) : time_left;
    const std::optional<Address> address = endpoints_.address_of(action.server);
    if (!address) return on_attempt_ended(id, {.outcome = AttemptOutcome::connect_failed});
    if (!endpoints_.is_active(action.server))
        return on_attempt_ended(id, {.outcome = AttemptOutcome::not_sent});
    counters_.add(Counter::attempts_started);
    upstream_.start_attempt(id, *address, request->request_line.line_with_wait(timeout),
                            config_.connect_timeout, timeout);
}

void RequestRouter::perform(const RejectAction& action) {
    completion_.reject(action.request_id, busy_reply_after(action.retry_after));
}

void RequestRouter::perform(const FailAction& action) { completion_.fail(action.request_id); }

void RequestRouter::perform(const MigrateAction& action) {
    completion_.migrate(action.request_id, environment_.now());
}

}  // namespace headrouter
