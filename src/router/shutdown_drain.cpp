#include "router/shutdown_drain.h"

#include <functional>
#include <vector>

#include "downstream/reply_lines.h"

namespace headrouter {

void ShutdownDrain::step(TimePoint now) {
    const auto is_established = [](const ActiveRequest& request) { return request.is_established; };
    std::vector<RequestId> established = context_.active_requests.sorted_ids_if(is_established);
    established.resize(schedule_.migrations_due(now, established.size()));
    for (const RequestId id : established) {
        context_.policy.on_client_gone(now, id);
        context_.completion.migrate(id, now);
    }
    if (!schedule_.is_over(now)) return;
    for (const RequestId id : context_.active_requests.sorted_ids_if(std::not_fn(is_established)))
        end_unestablished(id, now);
}

void ShutdownDrain::end_unestablished(RequestId id, TimePoint now) {
    context_.upstream.close(id, CloseReason::fin);
    const ActiveRequest& request = *context_.active_requests.find(id);
    const bool may_retry = may_client_retry(request, context_.config.policy);
    if (request.is_known_to_policy()) context_.policy.on_client_gone(now, id);
    if (may_retry)
        context_.completion.reject(id, busy_reply);
    else
        context_.completion.fail(id);
}

}  // namespace headrouter
