#include "router/request_watchdog.h"

#include <algorithm>

namespace headrouter {

namespace {

// A request that the policy has not answered this long after its deadline is failed without the policy.
constexpr Duration overdue_grace_period = millis(15);

// Longest time that a migration waits for the end of an incomplete line from the server.
constexpr Duration max_migration_wait = seconds(0.5);

constexpr int64_t ns_per_ms = 1'000'000;

}  // namespace

void RequestWatchdog::check(TimePoint now) {
    const DueRequests due = find_due(now);
    for (const RequestId id : due.overdue) fail_overdue(id, now);
    for (const RequestId id : due.stuck_migrations) end_stuck_migration(id);
    for (const RequestId id : due.adoption_retries)
        context_.adopter.connect(id, *context_.active_requests.find(id), now);
}

RequestWatchdog::DueRequests RequestWatchdog::find_due(TimePoint now) const {
    DueRequests due;
    context_.active_requests.for_each([&](RequestId id, const ActiveRequest& request) {
        if (request.is_established) {
            if (request.migration_pending && now - request.migration_requested_at > max_migration_wait)
                due.stuck_migrations.push_back(id);
        } else if (now > request.request_line.request.deadline + overdue_grace_period) {
            due.overdue.push_back(id);
        } else if (RequestAdopter::is_retry_due(request, now)) {
            due.adoption_retries.push_back(id);
        }
    });
    for (std::vector<RequestId>* ids : {&due.overdue, &due.stuck_migrations, &due.adoption_retries})
        std::sort(ids->begin(), ids->end());
    return due;
}

void RequestWatchdog::fail_overdue(RequestId id, TimePoint now) {
    const ActiveRequest& request = *context_.active_requests.find(id);
    const bool policy_knows = request.is_known_to_policy();
    const Duration late = now - request.request_line.request.deadline;
    context_.counters.add(Counter::answers_overdue);
    context_.log.warning("answer_overdue", {{"request", id}, {"late_ms", late.ns / ns_per_ms}});
    context_.upstream.close(id, CloseReason::fin);
    if (policy_knows) context_.policy.on_client_gone(now, id);
    context_.completion.fail(id);
}

void RequestWatchdog::end_stuck_migration(RequestId id) {
    context_.active_requests.remove(id);
    context_.upstream.close(id, CloseReason::fin);
    context_.downstream.close(id, CloseReason::fin);
}

}  // namespace headrouter
