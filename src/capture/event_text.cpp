#include "capture/event_text.h"

#include <array>
#include <sstream>

namespace headrouter::capture {

namespace {

constexpr std::array<const char*, static_cast<size_t>(EventKind::count)> event_names{
    "request arrived", "request adopted", "client gone",    "attempt established",
    "attempt ended",   "load report",     "latency report", "endpoints",
    "reconfigured",    "timer",           "probe ended",    "gossip"};

constexpr std::array outcome_names{"completed",      "error", "at capacity", "timed out",
                                   "connect failed", "reset", "cancelled",   "not sent"};

constexpr std::array<const char*, static_cast<size_t>(RecordedAction::Kind::count)> action_names{
    "start attempt", "reject", "fail", "migrate", "set timer", "watch endpoints", "send gossip"};

constexpr double milliseconds_per_second = 1000;

double to_milliseconds(Duration duration) { return to_seconds(duration) * milliseconds_per_second; }

bool concerns_attempt(const RecordedEvent& event) {
    return event.kind == EventKind::attempt_established || event.kind == EventKind::attempt_ended;
}

bool has_outcome(const RecordedEvent& event) {
    return event.kind == EventKind::attempt_ended || event.kind == EventKind::probe;
}

void describe_request(std::ostream& out, const Request& request) {
    out << " " << request.id << ", class " << request.type;
    if (request.is_reconnect) out << ", reconnect";
    if (!request.group.empty()) out << ", group " << request.group;
}

}  // namespace

const char* name_of(EventKind kind) { return event_names[static_cast<size_t>(kind)]; }

std::string describe(const RecordedAction& action) {
    std::ostringstream out;
    out << action_names[static_cast<size_t>(action.kind)];
    if (action.request_id) out << " for request " << action.request_id;
    if (!action.server.empty()) out << " at " << action.server;
    if (action.duration.ns) out << ", " << to_milliseconds(action.duration) << " ms";
    if (action.kind == RecordedAction::Kind::send_gossip)
        out << " to " << action.replica_index << ": " << action.gossip;
    if (action.kind == RecordedAction::Kind::set_timer)
        out << " " << action.token << " at " << to_seconds(action.at - TimePoint{}) << " s";
    return out.str();
}

std::string describe(const RecordedEvent& event) {
    std::ostringstream out;
    out << name_of(event.kind);
    const bool has_request =
        event.kind == EventKind::request_arrived || event.kind == EventKind::request_adopted;
    if (has_request) describe_request(out, event.request);
    if (event.request_id) out << " for request " << event.request_id;
    if (concerns_attempt(event))
        out << ", attempt " << event.attempt << " after " << to_milliseconds(event.duration) << " ms";
    if (has_outcome(event))
        out << ": " << outcome_names[static_cast<size_t>(event.outcome)] << (event.is_final ? ", final" : "");
    if (!event.server.empty()) out << " at " << event.server;
    if (event.kind == EventKind::load_report || event.kind == EventKind::latency_report)
        out << " " << event.value;
    if (event.kind == EventKind::endpoints) out << ", " << event.endpoints.size() << " servers";
    if (event.kind == EventKind::timer) out << " " << event.token;
    if (event.kind == EventKind::gossip) out << " from " << event.replica_index << ": " << event.gossip;
    return out.str();
}

}  // namespace headrouter::capture
