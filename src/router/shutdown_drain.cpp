#include "router/shutdown_drain.h"

#include <functional>
#include <vector>

#include "downstream/reply_lines.h"

namespace headrouter {

void ShutdownDrain::step(TimePoint now) {
    const auto is_established = [](const ActiveRequest& request) { return request.is_established; };
    std::vector<RequestId> established = parts_.active_requests.sorted_ids_if(is_established);
    established.resize(schedule_.migrations_due(now, established.size()));
    for (const RequestId id : established) {
        parts_.policy.on_client_gone(now, id);
        parts_.completion.migrate(id, now);
    }
    if (!schedule_.is_over(now)) return;
    for (const RequestId id : parts_.active_requests.sorted_ids_if(std::not_fn(is_established)))
        end_unestablished(id, now);
}

void ShutdownDrain::end_unestablished(RequestId id, TimePoint now) {
    parts_.upstream.close(id, CloseReason::fin);
    const ActiveRequest& request = *parts_.active_requests.find(id);
    const bool may_retry = may_client_retry(request, parts_.config.policy);
    if (request.is_known_to_policy()) parts_.policy.on_client_gone(now, id);
    if (may_retry)
        parts_.completion.reject(id, busy_reply);
    else
        parts_.completion.fail(id);
}

}  // namespace headrouter
