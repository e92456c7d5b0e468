#include "simulation/simulation.h"

#include <xxhash.h>

#include <algorithm>
#include <chrono>
#include <deque>
#include <utility>

#include "simulation/client_front.h"
#include "simulation/endpoint_announcer.h"
#include "simulation/fault_player.h"
#include "simulation/gossip_network.h"
#include "simulation/request_table.h"
#include "simulation/simulated_balancer.h"
#include "simulation/simulated_clients.h"
#include "simulation/simulated_servers.h"
#include "simulation/simulation_context.h"
#include "simulation/thread_pool.h"

namespace headrouter::simulation {
using namespace scenario;

namespace {

constexpr uint64_t seeds_stream = 41;

/// One world with its balancers: hands each event to the part that it concerns, and the balancers' outputs
/// back to the world.
class Simulation {
   public:
    Simulation(const Scenario& world, const Arm& arm, uint64_t seed, Outcome& outcome)
        : context_(world, seed, outcome),
          seeds_(seed, seeds_stream),
          requests_(world.servers),
          front_(world),
          clients_(context_, requests_, front_, arm.given ? arm.given->sessions : draw_sessions(world, seed)),
          servers_(context_, requests_, clients_, seeds_),
          announcer_(context_),
          faults_(context_, {requests_, front_, clients_, servers_, announcer_},
                  arm.given ? arm.given->actions : schedule_of(world, seed), injections_of(world, seed)),
          gossip_(context_, faults_.injections(), seed) {
        for (int b = 0; b < world.balancers; ++b)
            balancers_.emplace_back(world, b, arm.policy, seeds_.next() + seed, arm.record_to);
        outcome.actions = arm.given ? arm.given->actions : schedule_of(world, seed);
        context_.mailboxes.deliver(balancers_);
        clients_.schedule_sessions();
        faults_.schedule_all();
        context_.events.schedule(TimePoint{} + sample_every, SampleDue{});
    }

    std::deque<SimulatedBalancer>& balancers() { return balancers_; }
    Duration tick() const { return context_.tick(); }
    TimePoint next() const { return context_.events.next(); }

    /// Plays the world, without its balancers, up to `until`.
    void run(TimePoint until) {
        reached_ = until;
        context_.events.run(until, [this](const SimulationEvent& event) {
            std::visit([this](const auto& kind) { handle(kind); }, event);
        });
    }

    /// Takes what the balancers did in a window, balancer by balancer, so that the order is always the same,
    /// and hands them what the world has for them.
    void exchange() {
        for (int b = 0; b < context_.world.balancers; ++b) {
            SimulatedBalancer& balancer = balancers_[static_cast<size_t>(b)];
            for (const BalancerOutput& output : balancer.outputs())
                if (counts(b, output.at)) carry_out(b, output);
            balancer.outputs().clear();
            for (const GossipMessage& message : balancer.gossip())
                if (counts(b, message.at)) gossip_.carry(b, message, reached_);
            balancer.gossip().clear();
        }
        context_.mailboxes.deliver(balancers_);
    }

    void finish(TimePoint end) {
        Outcome& outcome = context_.outcome;
        servers_.settle(end);
        context_.checker.finish(end);
        outcome.injections = faults_.injections();
        outcome.judge(context_.world, context_.checker);
        outcome.judge_spread(context_.world, servers_.spread_log());
        outcome.requests = context_.checker.requests();
        outcome.events = context_.events.handled();
        const double balancer_seconds = to_seconds(context_.world.length) * context_.world.balancers;
        outcome.datagrams = static_cast<double>(gossip_.datagrams()) / balancer_seconds;
        outcome.datagram_bytes = static_cast<double>(gossip_.bytes()) / balancer_seconds;
        for (const SimulatedBalancer& balancer : balancers_) {
            outcome.events += balancer.events();
            const uint64_t digest = balancer.digest();
            outcome.digest = XXH64(&digest, sizeof digest, outcome.digest);
        }
        const double sums[] = {outcome.asked, outcome.served};
        outcome.digest = XXH64(sums, sizeof sums, outcome.digest);
    }

   private:
    void handle(const SessionBegins& event) { clients_.on(event); }
    void handle(const SessionEnds& event) { clients_.on(event); }
    void handle(const ClientConnects& event) { clients_.on(event); }
    void handle(const DeadlineExpires& event) { clients_.on(event); }
    void handle(const AnswerArrives& event) { clients_.on(event); }
    void handle(const ConnectionArrives& event) { servers_.on(event); }
    void handle(const RequestLineArrives& event) { servers_.on(event); }
    void handle(const ConnectionCloses& event) { servers_.on(event); }
    void handle(const SetUpCompletes& event) { servers_.on(event); }
    void handle(const SilenceNoticed& event) { servers_.on(event); }
    void handle(const EndpointAnnounced& event) { announcer_.on(event); }
    void handle(const ActionDue& event) { faults_.on(event); }
    void handle(const FrontNotices& event) { faults_.on(event); }
    void handle(const InjectionBegins& event) { faults_.on(event); }
    void handle(const InjectionEnds& event) { faults_.on(event); }
    void handle(const SampleDue&) { sample(); }

    /// A balancer that dies is told so a latency later; what it did in between never happened.
    bool counts(int balancer, TimePoint at) const {
        return context_.mailboxes.is_running(balancer) && at >= context_.mailboxes.started_at(balancer);
    }

    /// Brings a balancer's output to the client or the server that it is meant for.
    void carry_out(int balancer, const BalancerOutput& output) {
        std::visit(
            [&](const auto& command) {
                if (is_current(balancer, command.request)) carry_out(balancer, output.at, command);
            },
            output.command);
    }

    /// Whether the balancer's present process holds the request.
    bool is_current(int balancer, uint64_t id) {
        const SimulatedRequest* request = requests_.find(id);
        return request && request->balancer == balancer && request->life == context_.mailboxes.life(balancer);
    }

    void carry_out(int balancer, TimePoint at, const ConnectToServer& command) {
        const auto& [request, attempt, server] = command;
        context_.events.schedule(at + context_.server_latency(balancer, server),
                                 ConnectionArrives{request, attempt, server, balancer});
    }

    void carry_out(int balancer, TimePoint at, const SendRequestLine& command) {
        const auto& [request, attempt, server, wait] = command;
        context_.events.schedule(at + context_.server_latency(balancer, server),
                                 RequestLineArrives{request, attempt, server, balancer, wait});
    }

    void carry_out(int balancer, TimePoint at, const CloseServerConnection& command) {
        context_.events.schedule(at + context_.server_latency(balancer, command.server),
                                 ConnectionCloses{command.request, command.attempt});
    }

    void carry_out(int /*balancer*/, TimePoint at, const AnswerClient& command) {
        context_.events.schedule(at + context_.world.client_latency,
                                 AnswerArrives{command.request, command.answer, command.retry_after});
    }

    void sample() {
        Outcome& outcome = context_.outcome;
        const double asked = clients_.revenue_asked();
        SimulatedServers::Sample sample = servers_.sample();
        if (!sample.use.empty()) outcome.use_each.push_back(std::move(sample.use));
        servers_.report_falls(context_.now());
        outcome.sample(context_.world, context_.now(), asked, std::min(sample.served, asked));
        context_.events.schedule(context_.now() + sample_every, SampleDue{});
    }

    SimulationContext context_;
    Pcg32 seeds_;
    RequestTable requests_;
    ClientFront front_;
    SimulatedClients clients_;
    SimulatedServers servers_;
    EndpointAnnouncer announcer_;
    FaultPlayer faults_;
    GossipNetwork gossip_;
    std::deque<SimulatedBalancer> balancers_;  // their policies hold on to where they are
    TimePoint reached_;                        // the end of the window that was played last
};

}  // namespace

Outcome run(const Scenario& world, const Arm& arm, uint64_t seed, int threads,
            const std::atomic<bool>* stop) {
    const auto began = std::chrono::steady_clock::now();
    Outcome outcome;
    outcome.arm = arm.name;
    outcome.on = "model";
    outcome.seed = seed;
    Simulation simulation(world, arm, seed, outcome);
    ThreadPool pool(threads);
    std::deque<SimulatedBalancer>& balancers = simulation.balancers();
    std::vector<size_t> due;
    const Duration tick = simulation.tick();
    const TimePoint end = TimePoint{} + world.length;
    TimePoint reached;
    while (true) {
        TimePoint next = simulation.next();
        for (const SimulatedBalancer& balancer : balancers) next = std::min(next, balancer.next());
        if (next >= end) break;
        if (stop && stop->load()) {
            outcome.partial = true;
            break;
        }
        const TimePoint until = std::min(end, TimePoint{(next.ns / tick.ns + 1) * tick.ns});
        due.clear();
        for (size_t b = 0; b < balancers.size(); ++b)
            if (balancers[b].next() < until) due.push_back(b);
        pool.run(due.size() + 1, [&](size_t k) {
            if (k == 0)
                simulation.run(until);
            else
                balancers[due[k - 1]].run(until);
        });
        simulation.exchange();
        reached = until;
    }
    simulation.finish(outcome.partial ? reached : end);
    outcome.wall_seconds = std::chrono::duration<double>(std::chrono::steady_clock::now() - began).count();
    return outcome;
}

}  // namespace headrouter::simulation
