/// What passes between a simulated world and a simulated balancer: one type for each kind of message.
#pragma once
#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "policy/types.h"
#include "scenario/session.h"

namespace headrouter::simulation {

// ---- to a balancer ----

/// A client's request line.
struct RequestReceived {
    uint64_t request = 0;
    const scenario::Session* session = nullptr;  ///< owned by SimulatedClients, which outlives the message
    bool is_reconnect = false;
};
struct ClientDisconnected {
    uint64_t request = 0;
};
/// A server took the connection of an attempt.
struct ConnectionAccepted {
    uint64_t request = 0;
    int attempt = 0;
};
/// A server answered an attempt's request line with UP.
struct AttemptEstablished {
    uint64_t request = 0;
    int attempt = 0;
};
/// A server ended an attempt, before or after it was established.
struct AttemptEnded {
    uint64_t request = 0;
    int attempt = 0;
    AttemptOutcome outcome = AttemptOutcome::completed;
};
struct LoadReported {
    uint64_t request = 0;
    double load_us_per_s = 0;
};
struct LatencyReported {
    int server = 0;
    double latency_ms = 0;
};
/// An endpoint update, shared by the balancers that get the same.
struct EndpointsReceived {
    EndpointUpdateKind kind = EndpointUpdateKind::delta;
    std::shared_ptr<const std::vector<Endpoint>> endpoints;
};
/// A server owes answers for so long that the balancer takes its connections for dead.
struct ServerSilent {
    int server = 0;
};
/// The same of one request's connection.
struct ConnectionSilent {
    uint64_t request = 0;
};
struct GossipReceived {
    int from = 0;
    std::string bytes;
};
/// The balancer's process is killed.
struct ProcessKilled {};
/// A new process of the balancer starts.
struct ProcessStarted {};
/// The process does not run until then: what arrives meanwhile waits, and so do its timers.
struct ProcessStalled {
    TimePoint until;
};

using BalancerEvent =
    std::variant<RequestReceived, ClientDisconnected, ConnectionAccepted, AttemptEstablished, AttemptEnded,
                 LoadReported, LatencyReported, EndpointsReceived, ServerSilent, ConnectionSilent,
                 GossipReceived, ProcessKilled, ProcessStarted, ProcessStalled>;

/// An event with the time at which it arrives at the balancer.
struct BalancerInput {
    TimePoint at;
    BalancerEvent event;
};

// ---- from a balancer ----

/// Opens a connection for an attempt.
struct ConnectToServer {
    uint64_t request = 0;
    int attempt = 0;
    int server = 0;
};
/// Sends an attempt's request line.
struct SendRequestLine {
    uint64_t request = 0;
    int attempt = 0;
    int server = 0;
    Duration wait;  ///< how long the balancer waits for the answer
};
struct CloseServerConnection {
    uint64_t request = 0;
    int attempt = 0;
    int server = 0;
};

/// What a balancer last tells a client, or that the request is established.
enum class BalancerAnswer { established, rejected, failed, migrated, ended };

struct AnswerClient {
    uint64_t request = 0;
    BalancerAnswer answer = BalancerAnswer::established;
    Duration retry_after;  ///< of `rejected`
};

using BalancerCommand = std::variant<ConnectToServer, SendRequestLine, CloseServerConnection, AnswerClient>;

/// A command with the time at which it leaves the balancer.
struct BalancerOutput {
    TimePoint at;
    BalancerCommand command;
};

/// A gossip message to another balancer, or to all others (`all_other_replicas`).
struct GossipMessage {
    TimePoint at;
    int to = 0;
    std::string bytes;
};

}  // namespace headrouter::simulation
