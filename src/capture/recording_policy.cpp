#include "capture/recording_policy.h"

#include "capture/event_codec.h"

namespace headrouter::capture {

void RecordingPolicy::begin_event(EventKind kind, TimePoint now) {
    if (recorder_->wants_state()) recorder_->begin_segment(now, state_of(policy_));
    event_ = RecordedEvent{};
    event_.kind = kind;
    event_.at = now;
    event_actions_.clear();
    is_recording_event_ = true;
}

void RecordingPolicy::end_event() {
    is_recording_event_ = false;
    event_.actions = event_actions_.take_actions();
    bytes_.clear();
    encode(event_, bytes_);
    recorder_->record(event_.at, bytes_);
}

// The fields are set before the event is delivered, since delivery may move the values into the policy.
template <class SetFields, class Deliver>
void RecordingPolicy::record_and_deliver(EventKind kind, TimePoint now, SetFields set_fields,
                                         Deliver deliver_to_policy) {
    if (!recorder_) {
        deliver_to_policy();
        return;
    }
    begin_event(kind, now);
    set_fields(event_);
    deliver_to_policy();
    end_event();
}

void RecordingPolicy::on_request(TimePoint now, Request request) {
    record_and_deliver(
        EventKind::request_arrived, now, [&](RecordedEvent& event) { event.request = request; },
        [&] { policy_.on_request(now, std::move(request)); });
}

void RecordingPolicy::on_request_adopted(TimePoint now, Request request, const ServerId& server) {
    record_and_deliver(
        EventKind::request_adopted, now,
        [&](RecordedEvent& event) {
            event.request = request;
            event.server = server;
        },
        [&] { policy_.on_request_adopted(now, std::move(request), server); });
}

void RecordingPolicy::on_client_gone(TimePoint now, RequestId id) {
    record_and_deliver(
        EventKind::client_gone, now, [&](RecordedEvent& event) { event.request_id = id; },
        [&] { policy_.on_client_gone(now, id); });
}

void RecordingPolicy::on_attempt_established(TimePoint now, RequestId id, int attempt, Duration duration) {
    record_and_deliver(
        EventKind::attempt_established, now,
        [&](RecordedEvent& event) {
            event.request_id = id;
            event.attempt = attempt;
            event.duration = duration;
        },
        [&] { policy_.on_attempt_established(now, id, attempt, duration); });
}

void RecordingPolicy::on_attempt_ended(TimePoint now, RequestId id, int attempt, AttemptOutcome outcome,
                                       Duration duration, bool is_final, const LoadReport& report) {
    record_and_deliver(
        EventKind::attempt_ended, now,
        [&](RecordedEvent& event) {
            event.request_id = id;
            event.attempt = attempt;
            event.outcome = outcome;
            event.duration = duration;
            event.is_final = is_final;
            event.report = report;
        },
        [&] { policy_.on_attempt_ended(now, id, attempt, outcome, duration, is_final, report); });
}

void RecordingPolicy::on_load_report(TimePoint now, RequestId id, double load) {
    record_and_deliver(
        EventKind::load_report, now,
        [&](RecordedEvent& event) {
            event.request_id = id;
            event.value = load;
        },
        [&] { policy_.on_load_report(now, id, load); });
}

void RecordingPolicy::on_latency_report(TimePoint now, const ServerId& server, double latency) {
    record_and_deliver(
        EventKind::latency_report, now,
        [&](RecordedEvent& event) {
            event.server = server;
            event.value = latency;
        },
        [&] { policy_.on_latency_report(now, server, latency); });
}

void RecordingPolicy::on_endpoints(TimePoint now, EndpointUpdateKind kind,
                                   const std::vector<Endpoint>& endpoints) {
    record_and_deliver(
        EventKind::endpoints, now,
        [&](RecordedEvent& event) {
            event.update_kind = kind;
            event.endpoints = endpoints;
        },
        [&] { policy_.on_endpoints(now, kind, endpoints); });
}

void RecordingPolicy::reconfigure(TimePoint now, PolicyConfig config) {
    record_and_deliver(
        EventKind::reconfigured, now, [&](RecordedEvent& event) { event.config = config; },
        [&] { policy_.reconfigure(std::move(config)); });
}

void RecordingPolicy::on_timer(TimePoint now, uint64_t token) {
    record_and_deliver(
        EventKind::timer, now, [&](RecordedEvent& event) { event.token = token; },
        [&] { policy_.on_timer(now, token); });
}

bool RecordingPolicy::on_gossip(TimePoint now, int replica_index, const std::string& bytes) {
    bool is_accepted = false;
    record_and_deliver(
        EventKind::gossip, now,
        [&](RecordedEvent& event) {
            event.replica_index = replica_index;
            event.gossip = bytes;
        },
        [&] { is_accepted = policy_.on_gossip(now, replica_index, bytes); });
    return is_accepted;
}

// Each action of the policy is forwarded, and recorded if an event is being recorded.

void RecordingPolicy::start_attempt(RequestId id, const ServerId& server, Duration timeout) {
    if (is_recording_event_) event_actions_.start_attempt(id, server, timeout);
    actions_.start_attempt(id, server, timeout);
}

void RecordingPolicy::reject(RequestId id, Duration retry_after) {
    if (is_recording_event_) event_actions_.reject(id, retry_after);
    actions_.reject(id, retry_after);
}

void RecordingPolicy::fail(RequestId id) {
    if (is_recording_event_) event_actions_.fail(id);
    actions_.fail(id);
}

void RecordingPolicy::migrate(RequestId id) {
    if (is_recording_event_) event_actions_.migrate(id);
    actions_.migrate(id);
}

void RecordingPolicy::set_timer(TimePoint at, uint64_t token) {
    if (is_recording_event_) event_actions_.set_timer(at, token);
    actions_.set_timer(at, token);
}

void RecordingPolicy::watch_endpoints() {
    if (is_recording_event_) event_actions_.watch_endpoints();
    actions_.watch_endpoints();
}

void RecordingPolicy::send_gossip(int replica_index, const std::string& bytes) {
    if (is_recording_event_) event_actions_.send_gossip(replica_index, bytes);
    actions_.send_gossip(replica_index, bytes);
}

}  // namespace headrouter::capture
