#include "capture/event_codec.h"

#include "base/parse_error.h"
#include "capture/event_fields.h"

namespace headrouter::capture {

namespace {

template <class Kind>
[[noreturn]] void throw_unknown_kind(const char* what, Kind kind, Kind count) {
    throw ParseError(what, "is of kind " + std::to_string(static_cast<int>(kind)),
                     "0 to " + std::to_string(static_cast<int>(count) - 1));
}

template <class Archive>
void visit_action(Archive& archive, RecordedAction& action) {
    visit(archive, action.kind);
    switch (action.kind) {
        case RecordedAction::Kind::start_attempt:
            visit(archive, action.request_id);
            visit(archive, action.server);
            visit(archive, action.duration);
            break;
        case RecordedAction::Kind::reject:
            visit(archive, action.request_id);
            visit(archive, action.duration);
            break;
        case RecordedAction::Kind::fail:
        case RecordedAction::Kind::migrate: visit(archive, action.request_id); break;
        case RecordedAction::Kind::set_timer:
            visit(archive, action.at);
            visit(archive, action.token);
            break;
        case RecordedAction::Kind::watch_endpoints: break;
        case RecordedAction::Kind::send_gossip:
            visit(archive, action.replica_index);
            visit(archive, action.gossip);
            break;
        default: throw_unknown_kind("an action", action.kind, RecordedAction::Kind::count);
    }
}

template <class Archive>
void visit_fields(Archive& archive, RecordedEvent& event) {
    switch (event.kind) {
        case EventKind::request_arrived: visit(archive, event.request); break;
        case EventKind::request_adopted:
            visit(archive, event.request);
            visit(archive, event.server);
            break;
        case EventKind::client_gone: visit(archive, event.request_id); break;
        case EventKind::attempt_established:
            visit(archive, event.request_id);
            visit(archive, event.attempt);
            visit(archive, event.duration);
            break;
        case EventKind::attempt_ended:
            visit(archive, event.request_id);
            visit(archive, event.attempt);
            visit(archive, event.outcome);
            visit(archive, event.duration);
            visit(archive, event.is_final);
            visit(archive, event.report);
            break;
        case EventKind::load_report:
            visit(archive, event.request_id);
            visit(archive, event.value);
            break;
        case EventKind::latency_report:
            visit(archive, event.server);
            visit(archive, event.value);
            break;
        case EventKind::endpoints:
            visit(archive, event.update_kind);
            visit(archive, event.endpoints);
            break;
        case EventKind::reconfigured: visit(archive, event.config); break;
        case EventKind::timer: visit(archive, event.token); break;
        case EventKind::probe:
            visit(archive, event.server);
            visit(archive, event.outcome);
            visit(archive, event.duration);
            visit(archive, event.report);
            break;
        case EventKind::gossip:
            visit(archive, event.replica_index);
            visit(archive, event.gossip);
            break;
        default: throw_unknown_kind("an event", event.kind, EventKind::count);
    }
}

template <class Archive>
void visit_event(Archive& archive, RecordedEvent& event) {
    visit(archive, event.kind);
    if (event.kind >= EventKind::count) throw_unknown_kind("an event", event.kind, EventKind::count);
    visit(archive, event.at);
    visit_fields(archive, event);
    const size_t actions = visit_size(archive, event.actions.size());
    if constexpr (!Archive::writes) event.actions.resize(actions);
    for (RecordedAction& action : event.actions) visit_action(archive, action);
    if (event.kind != EventKind::reconfigured) return;
    // Settings that were added later follow the actions; events of older captures end before them.
    visit_gossip_settings(archive, event.config);
    visit_subset_settings(archive, event.config);
}

}  // namespace

void encode(const RecordedEvent& event, std::string& bytes) {
    ByteWriter writer(bytes);
    // NOLINTNEXTLINE(cppcoreguidelines-pro-type-const-cast): a ByteWriter does not modify the event.
    visit_event(writer, const_cast<RecordedEvent&>(event));
}

RecordedEvent decode(std::string_view bytes) {
    ByteReader reader(bytes, "an event");
    RecordedEvent event;
    visit_event(reader, event);
    reader.check_end();
    return event;
}

}  // namespace headrouter::capture
