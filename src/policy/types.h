/// The plain types that cross the policy's interface: requests, endpoints, and the outcomes that are reported
/// of attempts. No behaviour, and nothing of the policy's inside.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"

namespace headrouter {

/// Names one request of a client for as long as the policy knows it; zero names none.
using RequestId = uint64_t;
/// The id under which the endpoint list names a server.
using ServerId = std::string;

/// What a second execution of a request does: nothing, nothing within the deduplication window, or harm.
enum class Idempotency { idempotent, keyed, non_idempotent };
/// Which servers recognise a keyed request that one of them has run.
enum class DedupScope { all, zone, cell };
/// Of a server in the endpoint list: takes new connections, keeps only those it has, or is gone.
enum class EndpointState { active, draining, removed };
/// What an endpoint update holds: changes, the whole list, an old whole list, or no list at all.
enum class EndpointUpdateKind { delta, snapshot, cached, error };
/// How an attempt ended.
enum class AttemptOutcome {
    completed,
    error,
    at_capacity,
    timed_out,
    connect_failed,
    reset,
    cancelled,
    not_sent
};

/// What differs by class of request, as far as the policy reads it.
struct RequestClass {
    Idempotency idempotency = Idempotency::idempotent;
    DedupScope dedup_scope = DedupScope::all;
    Duration setup_objective;    ///< until a request is established
    Duration deadline;           ///< until a request is answered
    Duration dedup_window;       ///< from the first attempt; how long servers recognise a keyed request
    Duration message_objective;  ///< zero where the class has none
};

/// A server as the endpoint list has it.
struct Endpoint {
    ServerId server;
    double weight = 1;
    EndpointState state = EndpointState::active;
    int zone = 0;
    int cell = 0;
    std::optional<TimePoint> launched;  ///< start of its process, where the list knows it
};

/// A request as its client asked for it.
struct Request {
    RequestId id = 0;
    int type = 0;    ///< index of its request class
    int tenant = 0;  ///< index of its tenant
    bool is_reconnect = false;
    bool mid_stream = false;              ///< a server may still have the connection that it resumes
    std::string key;                      ///< affinity key, empty where the request has none
    std::string group;                    ///< affinity group, empty where the request is in none
    std::optional<Duration> hinted_load;  ///< work a second
    TimePoint deadline;                   ///< for the answer
};

/// What a server reports of itself when an attempt ends.
struct LoadReport {
    std::optional<double> load_share;  ///< what it is asked for, as a part of what it can do
};

}  // namespace headrouter
