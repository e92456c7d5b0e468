#include "router/request_intake.h"

#include <algorithm>
#include <utility>

#include "downstream/reply_lines.h"
#include "transport/line_text.h"

namespace headrouter {

namespace {

// The client's wait starts when it sends its line, and the answer needs time to reach it. The deadline is
// therefore earlier than the end of the wait by this margin, at most by the given fraction of the wait.
constexpr Duration reply_margin = millis(10);
constexpr double max_reply_margin_fraction = 0.5;

}  // namespace

void RequestIntake::on_request_line(RequestId id, std::string_view line) {
    Result<RequestLine, RequestLineError> parsed = parse_request_line(line, context_.config);
    if (!parsed) return reject_malformed(id, line, parsed.error());
    if (context_.active_requests.has_wire_id(parsed->wire_id)) {
        // Servers see the same id: each of them would reject the line, and the policy would penalize it.
        context_.counters.add(Counter::ids_open_already);
        return reject_malformed(id, line, RequestLineError::id_in_use);
    }
    if (context_.active_requests.executed_ids().contains(parsed->wire_id)) {
        context_.counters.add(Counter::ids_run_already);
        return reject_malformed(id, line, RequestLineError::id_has_run);
    }
    if (context_.downstream.is_reset(id)) return drop(id);
    const TimePoint now = context_.environment.now();
    const bool is_new = parsed->established_server.empty();
    const auto origin = is_new ? AdmissionControl::RequestOrigin::new_request
                               : AdmissionControl::RequestOrigin::established_before;
    if (const std::optional<AdmissionRejection> rejection = admission_.check(origin, now))
        return reject(id, *parsed, *rejection);
    if (is_new)
        accept(id, std::move(*parsed), now);
    else
        adopt(id, std::move(*parsed), now);
}

// Nothing can reach this client any more: an attempt would only cost its server a connection.
void RequestIntake::drop(RequestId id) {
    context_.counters.add(Counter::requests_left_by_client);
    context_.log.debug("request_left", {{"request", id}, {"by", "reset"}, {"established", false}});
    context_.downstream.close(id, CloseReason::reset);
}

void RequestIntake::reject_malformed(RequestId id, std::string_view line, RequestLineError error) {
    context_.counters.add(Counter::malformed_client_lines);
    context_.log.debug("request_malformed",
                       {{"request", id}, {"found", describe(error)}, {"line", trim_line_end(line)}});
    context_.downstream.reply(id, error_reply);
}

void RequestIntake::reject(RequestId id, const RequestLine& request_line,
                           const AdmissionRejection& rejection) {
    context_.counters.add(rejection.counter);
    context_.log.debug("request_refused", {{"request", id}, {"reason", rejection.reason}});
    context_.setup_counters.add(admin::SetupOutcome::declined, request_line.request.type);
    context_.downstream.reply(id, busy_reply_after(rejection.retry_after));
}

void RequestIntake::accept(RequestId id, RequestLine request_line, TimePoint now) {
    ActiveRequest& active = context_.active_requests.add(id, std::move(request_line));
    Request& request = active.request_line.request;
    const Duration wait = active.request_line.wait;
    request.id = id;
    request.deadline = now + wait - std::min(reply_margin, wait * max_reply_margin_fraction);
    context_.counters.add(Counter::requests_accepted);
    recent_reconnects_.add(now, request.is_reconnect);
    context_.policy.on_request(now, request);
    context_.actions.perform_all();
}

void RequestIntake::adopt(RequestId id, RequestLine request_line, TimePoint now) {
    ActiveRequest& active = context_.active_requests.add(id, std::move(request_line));
    Request& request = active.request_line.request;
    active.is_adopted = true;
    request.id = id;
    request.deadline = now + context_.adopter.time_limit(now);
    context_.adopter.connect(id, active, now);
}

}  // namespace headrouter
