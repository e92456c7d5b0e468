/// What happens in the simulated world, outside the balancers: one type for each kind of event.
#pragma once
#include <cstddef>
#include <cstdint>
#include <variant>

#include "scenario/simulated_server.h"
#include "simulation/balancer_messages.h"

namespace headrouter::simulation {

struct SessionBegins {
    size_t session = 0;
};
struct SessionEnds {
    size_t session = 0;
};
/// A client connects, for the first time or again.
struct ClientConnects {
    size_t session = 0;
};
struct DeadlineExpires {
    uint64_t request = 0;
};
/// A balancer's answer reaches the client.
struct AnswerArrives {
    uint64_t request = 0;
    BalancerAnswer answer = BalancerAnswer::established;
    Duration retry_after;
};
/// A balancer's connection reaches a server.
struct ConnectionArrives {
    uint64_t request = 0;
    int attempt = -1, server = -1, balancer = -1;
};
/// A request's first line reaches a server; the balancer waits for the answer for so long.
struct RequestLineArrives {
    uint64_t request = 0;
    int attempt = -1, server = -1, balancer = -1;
    Duration wait;
};
struct ConnectionCloses {
    uint64_t request = 0;
    int attempt = -1;
};
struct SetUpCompletes {
    uint64_t request = 0;
    int attempt = -1, server = -1, balancer = -1;
    scenario::SimulatedServer::SetUp::How result = scenario::SimulatedServer::SetUp::How::up;
};
/// One of the schedule's actions is due.
struct ActionDue {
    size_t action = 0;
};
/// Discovery tells a balancer of a server's present state.
struct EndpointAnnounced {
    int server = -1, balancer = -1;
};
struct SampleDue {};
/// A balancer finds out that a server says nothing; void where the server has answered again since.
struct SilenceNoticed {
    int server = -1, balancer = -1;
    uint64_t silence = 0;
};
/// Whoever spreads the clients finds out whether a balancer takes them.
struct FrontNotices {
    int balancer = -1;
};
struct InjectionBegins {
    size_t injection = 0;
};
struct InjectionEnds {
    size_t injection = 0;
};

using SimulationEvent =
    std::variant<SessionBegins, SessionEnds, ClientConnects, DeadlineExpires, AnswerArrives,
                 ConnectionArrives, RequestLineArrives, ConnectionCloses, SetUpCompletes, ActionDue,
                 EndpointAnnounced, SampleDue, SilenceNoticed, FrontNotices, InjectionBegins, InjectionEnds>;

}  // namespace headrouter::simulation
