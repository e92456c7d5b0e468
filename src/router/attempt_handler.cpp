#include "router/attempt_handler.h"

#include <algorithm>

#include "downstream/reply_lines.h"
#include "router/outcome_reporting.h"
#include "transport/line_text.h"

namespace headrouter {

namespace {
constexpr int64_t ns_per_ms = 1'000'000;
// An answer that is no line of the protocol can be longer than one line.
constexpr size_t max_logged_reply_bytes = 64;
}  // namespace

void AttemptHandler::start(const StartAttemptAction& action) {
    const RequestId id = action.request_id;
    ActiveRequest* request = context_.active_requests.find(id);
    if (!request || request->is_established) return context_.counters.add(Counter::late_events);
    const TimePoint now = context_.environment.now();
    context_.counters.must_hold(!request->attempt_running);
    request->attempt = request->attempt ? *request->attempt + 1 : 0;
    request->server = action.server;
    request->attempt_started_at = now;
    request->attempt_running = true;
    request->may_have_run_before_attempt = request->may_have_run;
    const Duration time_left = std::max(request->request_line.request.deadline - now, Duration{});
    const Duration timeout = action.timeout.ns > 0 ? std::min(action.timeout, time_left) : time_left;
    const std::optional<Address> address = context_.endpoints.address_of(action.server);
    if (!address) return on_ended(id, {.outcome = AttemptOutcome::connect_failed});
    if (!context_.endpoints.is_active(action.server))
        return on_ended(id, {.outcome = AttemptOutcome::not_sent});
    context_.counters.add(Counter::attempts_started);
    const AttemptTimeouts timeouts{.connect = context_.config.connect_timeout,
                                   .response = timeout,
                                   .send = context_.policy.time_left_to_send(now, id)};
    context_.upstream.start_attempt(id, *address, request->request_line.line_with_wait(timeout), timeouts);
}

bool AttemptHandler::may_send(RequestId id) {
    context_.downstream.poll_now(id);
    const ActiveRequest* request = context_.active_requests.find(id);
    if (!request) return false;
    if (request->is_adopted) return true;
    if (!is_in_time_to_send(id)) return false;
    return context_.endpoints.is_active(request->server) && !context_.environment.is_endpoint_list_outdated();
}

bool AttemptHandler::is_in_time_to_send(RequestId id) {
    const std::optional<Duration> time_left =
        context_.policy.time_left_to_send(context_.environment.now(), id);
    if (!time_left || *time_left > Duration{}) return true;
    context_.counters.add(Counter::retries_out_of_time);
    context_.log.debug("retry_out_of_time", {{"request", id}, {"overdue_ms", -time_left->ns / ns_per_ms}});
    return false;
}

void AttemptHandler::on_written(RequestId id) {
    ActiveRequest* request = context_.active_requests.find(id);
    if (!request) return context_.counters.add(Counter::late_events);
    request->may_have_run = true;
    context_.setup_counters.add_forward();
}

void AttemptHandler::on_established(RequestId id, std::string_view line) {
    ActiveRequest* request = context_.active_requests.find(id);
    if (!request || !request->attempt) return context_.counters.add(Counter::late_events);
    request->is_established = true;
    context_.log.debug("request_established", {{"request", id}, {"server", request->server}});
    context_.counters.add(request->is_adopted ? Counter::requests_adopted : Counter::requests_established);
    context_.completion.record_setup(*request, admin::SetupOutcome::succeeded);
    context_.downstream.forward(id, line);
    const TimePoint now = context_.environment.now();
    if (request->is_adopted)
        context_.policy.on_request_adopted(now, request->request_line.request, request->server);
    else
        context_.policy.on_attempt_established(now, id, *request->attempt, now - request->attempt_started_at);
    context_.actions.perform_all();
    context_.downstream.start(id);
}

void AttemptHandler::on_ended(RequestId id, const AttemptResult& result) {
    ActiveRequest* request = context_.active_requests.find(id);
    if (!request || !request->attempt) return context_.counters.add(Counter::late_events);
    const TimePoint now = context_.environment.now();
    const Duration duration = now - request->attempt_started_at;
    request->attempt_running = false;
    // The server rejected this attempt, so the request did not run in it; it may have run in an earlier one.
    if (result.outcome == AttemptOutcome::at_capacity)
        request->may_have_run = request->may_have_run_before_attempt;
    log_attempt_ended(id, *request, result, duration);
    if (request->is_adopted && !request->is_established) return RequestAdopter::schedule_retry(*request, now);

    const bool completed = result.outcome == AttemptOutcome::completed;
    const bool is_last = request->is_established || completed;
    const int attempt = *request->attempt;
    if (completed)
        context_.counters.add(Counter::requests_completed);
    else
        context_.counters.add(request->is_established ? Counter::requests_broken
                                                      : counter_of(result.outcome));
    if (is_last) end_client_connection(id, *request, result);
    context_.policy.on_attempt_ended(now, id, attempt, result.outcome, duration, is_last, {});
    context_.actions.perform_all();
}

void AttemptHandler::log_attempt_ended(RequestId id, const ActiveRequest& request,
                                       const AttemptResult& result, Duration duration) {
    context_.log.debug("attempt_ended",
                       {{"request", id},
                        {"server", request.server},
                        {"attempt", *request.attempt},
                        {"adopted", request.is_adopted},
                        {"established", request.is_established},
                        {"outcome", name_of(result.outcome)},
                        {"silent", result.server_silent},
                        {"reply", trim_line_end(result.reply).substr(0, max_logged_reply_bytes)},
                        {"duration_ms", duration.ns / ns_per_ms}});
}

void AttemptHandler::end_client_connection(RequestId id, const ActiveRequest& request,
                                           const AttemptResult& result) {
    const bool was_established = request.is_established;
    const bool may_migrate = result.server_silent && !request.server_line_incomplete;
    // For the client, a request that ended before it was established has failed.
    if (!was_established) context_.completion.record_setup(request, admin::SetupOutcome::aborted);
    context_.active_requests.remove(id);
    if (!was_established)
        context_.downstream.reply(id, result.reply);
    else if (may_migrate)
        context_.downstream.reply(id, move_reply);
    else
        context_.downstream.close(id, result.close_reason);
}

}  // namespace headrouter
