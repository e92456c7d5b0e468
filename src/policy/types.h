/// Plain types of the policy's interface: requests, endpoints and the reported outcomes of attempts. They
/// have no behaviour and expose no internals of the policy.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"

namespace headrouter {

/// Identifies one request of a client while the policy has a record of it; zero identifies none.
using RequestId = uint64_t;
/// A server's id in the endpoint list.
using ServerId = std::string;

/// Effect of a second execution of a request: none, none within the deduplication window, or a harmful one.
enum class Idempotency { idempotent, keyed, non_idempotent };
/// The servers that recognise a keyed request after one of them has run it.
enum class DedupScope { all, zone, cell };
/// State of a server in the endpoint list: takes new connections, keeps only its existing ones, or is gone.
enum class EndpointState { active, draining, removed };
/// Content of an endpoint update: changes, the whole list, an old whole list from a cache, or no list.
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

/// Settings of a class of requests, as far as the policy reads them.
struct RequestClass {
    Idempotency idempotency = Idempotency::idempotent;
    DedupScope dedup_scope = DedupScope::all;
    Duration setup_objective;    ///< time until a request should be established
    Duration deadline;           ///< time until a request must be answered
    Duration dedup_window;       ///< how long servers recognise a keyed request, from its first attempt
    Duration message_objective;  ///< latency objective of a message; zero if the class has none
};

/// A server's entry in the endpoint list.
struct Endpoint {
    ServerId server;
    double weight = 1;
    EndpointState state = EndpointState::active;
    int zone = 0;
    int cell = 0;
    std::optional<TimePoint> launched;  ///< start of its process, if the list has it
};

/// A request as its client sent it.
struct Request {
    RequestId id = 0;
    int type = 0;    ///< index of its request class
    int tenant = 0;  ///< index of its tenant
    bool is_reconnect = false;
    bool mid_stream = false;              ///< resumes a connection that a server may still have
    std::string key;                      ///< affinity key; empty if the request has none
    std::string group;                    ///< affinity group; empty if the request is in none
    std::optional<Duration> hinted_load;  ///< load hint, as work a second
    TimePoint deadline;                   ///< time by which the request must be answered
};

/// A server's report on its own load at the end of an attempt.
struct LoadReport {
    std::optional<double> load_share;  ///< load demanded of the server, as a fraction of its capacity
};

}  // namespace headrouter
