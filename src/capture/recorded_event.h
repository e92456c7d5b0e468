/// \file
/// Defines an event of the balancing policy with the actions that the policy took on it.
#pragma once
#include <cstdint>
#include <string>
#include <vector>

#include "policy/balancing_policy.h"

namespace headrouter::capture {

/// The policy's events. Captures store the numbers: new enumerators are added just before `count`.
enum class EventKind : uint8_t {
    request_arrived,
    request_adopted,
    client_gone,
    attempt_established,
    attempt_ended,
    load_report,
    latency_report,
    endpoints,
    reconfigured,
    timer,
    probe,  ///< only in captures of older builds; the policy no longer sends probes
    gossip,
    count
};

/// An action of the policy; which fields are set depends on its kind.
struct RecordedAction {
    /// Captures store the numbers: new enumerators are added just before `count`.
    enum class Kind : uint8_t {
        start_attempt,
        reject,
        fail,
        migrate,
        set_timer,
        watch_endpoints,
        send_gossip,
        count
    };

    Kind kind = Kind::start_attempt;
    RequestId request_id = 0;
    ServerId server{};
    Duration duration{};    ///< the timeout of an attempt, or the retry-after of a reject
    TimePoint at{};         ///< when a timer is due
    uint64_t token = 0;     ///< identifies the timer
    int replica_index = 0;  ///< of the balancer that receives the gossip
    std::string gossip{};

    bool operator==(const RecordedAction&) const = default;
};

/// An event; which fields are set depends on its kind.
struct RecordedEvent {
    EventKind kind = EventKind::timer;
    TimePoint at;  ///< on the policy's clock
    RequestId request_id = 0;
    Request request;  ///< the request that arrived or was adopted
    ServerId server;
    int attempt = 0;
    AttemptOutcome outcome = AttemptOutcome::completed;
    Duration duration;  ///< since the attempt was started
    bool is_final = false;
    LoadReport report;
    double value = 0;  ///< load in microseconds of work per second, or latency in milliseconds
    EndpointUpdateKind update_kind = EndpointUpdateKind::delta;
    std::vector<Endpoint> endpoints;
    PolicyConfig config;
    uint64_t token = 0;     ///< identifies the timer
    int replica_index = 0;  ///< of the balancer that sent the gossip
    std::string gossip;
    std::vector<RecordedAction> actions;  ///< the policy's actions on the event, in order
};

}  // namespace headrouter::capture
