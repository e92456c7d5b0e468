#include "capture/policy_state.h"

#include <utility>

#include "base/parse_error.h"
#include "capture/policy_form.h"

namespace headrouter::capture {

namespace {

void check_request_class(const RecordedEvent& event, const BalancingPolicy& policy) {
    const int classes = static_cast<int>(policy.config().request_classes.size());
    const int request_class = event.request.type;
    if (request_class >= 0 && request_class < classes) return;
    throw ParseError("request " + std::to_string(event.request.id),
                     "is of request class " + std::to_string(request_class),
                     "one of " + std::to_string(classes));
}

void check_server(const RecordedEvent& event, const BalancingPolicy& policy) {
    if (policy.has_server(event.server)) return;
    throw ParseError("a latency report", "is of server '" + event.server + "'", "one that was listed before");
}

void check_config(const RecordedEvent& event, const BalancingPolicy& policy) {
    const size_t classes = policy.config().request_classes.size();
    if (event.config.request_classes.size() >= classes) return;
    throw ParseError("a configuration",
                     "has " + std::to_string(event.config.request_classes.size()) + " request classes",
                     std::to_string(classes) + " at least, as before");
}

}  // namespace

std::string state_of(const BalancingPolicy& policy) {
    std::string bytes;
    ByteWriter writer(bytes);
    BalancingPolicy::State state = policy.state();
    visit(writer, state);
    return bytes;
}

void restore(BalancingPolicy& policy, std::string_view bytes) {
    ByteReader reader(bytes, "the policy's state");
    BalancingPolicy::State state = policy.state();
    visit(reader, state);
    reader.check_end();
    policy.restore(std::move(state));
}

void deliver(const RecordedEvent& event, BalancingPolicy& policy) {
    const TimePoint now = event.at;
    switch (event.kind) {
        case EventKind::request_arrived:
            check_request_class(event, policy);
            return policy.on_request(now, event.request);
        case EventKind::request_adopted:
            check_request_class(event, policy);
            return policy.on_request_adopted(now, event.request, event.server);
        case EventKind::client_gone: return policy.on_client_gone(now, event.request_id);
        case EventKind::attempt_established:
            return policy.on_attempt_established(now, event.request_id, event.attempt, event.duration);
        case EventKind::attempt_ended:
            return policy.on_attempt_ended(now, event.request_id, event.attempt, event.outcome,
                                           event.duration, event.is_final, event.report);
        case EventKind::load_report: return policy.on_load_report(now, event.request_id, event.value);
        case EventKind::latency_report:
            check_server(event, policy);
            return policy.on_latency_report(now, event.server, event.value);
        case EventKind::endpoints: return policy.on_endpoints(now, event.update_kind, event.endpoints);
        case EventKind::reconfigured: check_config(event, policy); return policy.reconfigure(event.config);
        case EventKind::timer: return policy.on_timer(now, event.token);
        case EventKind::gossip: return void(policy.on_gossip(now, event.replica_index, event.gossip));
        case EventKind::probe:
        case EventKind::count: return;
    }
}

}  // namespace headrouter::capture
