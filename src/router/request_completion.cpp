#include "router/request_completion.h"

#include "downstream/reply_lines.h"
#include "transport/line_text.h"

namespace headrouter {

void RequestCompletion::reject(RequestId id, std::string_view busy_line) {
    reply(id, busy_line, Counter::requests_rejected, admin::SetupOutcome::declined);
}

void RequestCompletion::fail(RequestId id) {
    reply(id, error_reply, Counter::requests_failed, admin::SetupOutcome::aborted);
}

void RequestCompletion::reply(RequestId id, std::string_view line, Counter counter,
                              admin::SetupOutcome setup) {
    const ActiveRequest* request = active_requests_.find(id);
    if (!request) return counters_.add(Counter::late_events);
    record_setup(*request, setup);
    active_requests_.remove(id);
    log_.debug("request_answered", {{"request", id}, {"reply", trim_line_end(line)}});
    counters_.add(counter);
    downstream_.reply(id, line);
}

void RequestCompletion::migrate(RequestId id, TimePoint now) {
    ActiveRequest* request = active_requests_.find(id);
    if (!request || !request->is_established) return counters_.add(Counter::late_events);
    if (request->server_line_incomplete) {
        if (!request->migration_pending) request->migration_requested_at = now;
        request->migration_pending = true;
        return;
    }
    log_.debug("request_migrated", {{"request", id}, {"server", request->server}});
    active_requests_.remove(id);
    counters_.add(Counter::requests_migrated);
    upstream_.close(id, CloseReason::fin);
    downstream_.reply(id, move_reply);
}

void RequestCompletion::record_setup(const ActiveRequest& request, admin::SetupOutcome setup) {
    if (!request.is_adopted) setup_counters_.add(setup, request.request_line.request.type);
}

}  // namespace headrouter
