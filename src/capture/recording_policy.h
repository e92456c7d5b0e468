/// \file
/// Wraps the balancing policy so that its events and actions can be recorded.
#pragma once
#include <string>
#include <string_view>
#include <utility>

#include "capture/action_recorder.h"
#include "capture/policy_state.h"
#include "capture/recorded_event.h"

namespace headrouter::capture {

/// Receives recorded events. Used on the policy's thread.
class EventRecorder {
   public:
    virtual ~EventRecorder() = default;
    /// Returns whether begin_segment() must be called before the next event.
    [[nodiscard]] virtual bool wants_state() const = 0;
    /// Begins a segment. `state` is the policy's whole state at `now`, before the next event.
    virtual void begin_segment(TimePoint now, std::string state) = 0;
    /// Records an event with its actions, in the bytes that encode() writes.
    virtual void record(TimePoint now, std::string_view event) = 0;
};

/// Owns the policy and is the only access to it. Forwards each event to the policy and each action to
/// `actions`, and records both while a recorder is set. The events are those of BalancingPolicy.
class RecordingPolicy : private PolicyActions {
   public:
    RecordingPolicy(PolicyConfig config, uint64_t seed, PolicyActions& actions, TimePoint now)
        : actions_(actions), policy_(std::move(config), seed, *this, now) {}

    /// Sets the recorder, from the next event on; null ends the recording. The recorder must outlive its use
    /// here.
    void record_to(EventRecorder* recorder) { recorder_ = recorder; }

    void on_request(TimePoint now, Request request);
    void on_request_adopted(TimePoint now, Request request, const ServerId& server);
    void on_client_gone(TimePoint now, RequestId id);
    void on_attempt_established(TimePoint now, RequestId id, int attempt, Duration duration);
    void on_attempt_ended(TimePoint now, RequestId id, int attempt, AttemptOutcome outcome, Duration duration,
                          bool is_final, const LoadReport& report);
    /// `load` is in microseconds of work per second.
    void on_load_report(TimePoint now, RequestId id, double load);
    /// `latency` is in milliseconds.
    void on_latency_report(TimePoint now, const ServerId& server, double latency);
    void on_endpoints(TimePoint now, EndpointUpdateKind kind, const std::vector<Endpoint>& endpoints);
    void reconfigure(TimePoint now, PolicyConfig config);
    void on_timer(TimePoint now, uint64_t token);
    /// Returns false, with the policy unchanged, if the message is malformed.
    bool on_gossip(TimePoint now, int replica_index, const std::string& bytes);

    [[nodiscard]] const PolicyConfig& config() const { return policy_.config(); }
    /// Returns whether any endpoint list has named the server.
    [[nodiscard]] bool has_server(const ServerId& id) const { return policy_.has_server(id); }
    /// Returns the time within which the request's latest attempt has to be sent, see BalancingPolicy.
    [[nodiscard]] std::optional<Duration> time_left_to_send(TimePoint now, RequestId id) const {
        return policy_.time_left_to_send(now, id);
    }
    /// Returns the number of listed servers that would get no new connection at `now`.
    [[nodiscard]] int count_unselectable(TimePoint now) const { return policy_.count_unselectable(now); }

    /// Save and restore the state in a hot restart. The state is restored before the first event; restore()
    /// throws ParseError under the same conditions as capture::restore().
    [[nodiscard]] std::string state() const { return state_of(policy_); }
    void restore(std::string_view state) { capture::restore(policy_, state); }

   private:
    template <class SetFields, class Deliver>
    void record_and_deliver(EventKind kind, TimePoint now, SetFields set_fields, Deliver deliver_to_policy);
    void begin_event(EventKind kind, TimePoint now);
    void end_event();

    void start_attempt(RequestId id, const ServerId& server, Duration timeout) override;
    void reject(RequestId id, Duration retry_after) override;
    void fail(RequestId id) override;
    void migrate(RequestId id) override;
    void set_timer(TimePoint at, uint64_t token) override;
    void watch_endpoints() override;
    void send_gossip(int replica_index, const std::string& bytes) override;

    PolicyActions& actions_;
    EventRecorder* recorder_ = nullptr;
    RecordedEvent event_;  // the event that is being recorded
    bool is_recording_event_ = false;
    ActionRecorder event_actions_;  // the policy's actions on the event
    std::string bytes_;             // encoded event; a member so that its memory is reused
    BalancingPolicy policy_;        // last: its constructor sets a timer through the members above
};

}  // namespace headrouter::capture
