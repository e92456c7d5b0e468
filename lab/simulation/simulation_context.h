/// What all parts of a simulated world share: its time, its chance, its judge and the ways to the balancers.
#pragma once
#include <algorithm>

#include "base/pcg32.h"
#include "scenario/outcome.h"
#include "simulation/balancer_mailboxes.h"
#include "simulation/event_queue.h"
#include "simulation/simulation_event.h"

namespace headrouter::simulation {

struct SimulationContext {
    SimulationContext(const scenario::Scenario& w, uint64_t seed, scenario::Outcome& result)
        : world(w),
          outcome(result),
          chance(seed, chance_stream),
          checker(w, millis(50)),
          mailboxes(w.balancers) {}

    static constexpr uint64_t chance_stream = 31;

    const scenario::Scenario& world;
    scenario::Outcome& outcome;
    Pcg32 chance;
    scenario::InvariantChecker checker;
    EventQueue<SimulationEvent> events;
    BalancerMailboxes mailboxes;

    TimePoint now() const { return events.now(); }
    TimePoint end() const { return TimePoint{} + world.length; }

    /// The shortest latency between the world and the balancers, and so the longest time that both may run
    /// side by side without hearing from each other.
    Duration tick() const { return std::min(world.client_latency, world.server_latency); }

    /// Of a byte between a balancer and a server; twice as long between zones.
    Duration server_latency(int balancer, int server) const {
        const bool same_zone = balancer % world.zones == server % world.zones;
        return same_zone ? world.server_latency : world.server_latency * 2;
    }

    /// Sends an event to a balancer, where it arrives after `latency`.
    void send(int balancer, BalancerEvent event, Duration latency) {
        mailboxes.send(balancer, {now() + latency, std::move(event)});
    }
};

}  // namespace headrouter::simulation
