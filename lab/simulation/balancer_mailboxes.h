/// What the simulated world sends to the balancers, and which of them run.
#pragma once
#include <deque>
#include <utility>
#include <vector>

#include "simulation/simulated_balancer.h"

namespace headrouter::simulation {

class BalancerMailboxes {
   public:
    explicit BalancerMailboxes(int balancers) : processes_(static_cast<size_t>(balancers)) {}

    bool is_running(int balancer) const { return process(balancer).running; }

    /// Counts the processes that a balancer has had: what one of them did does not concern the next.
    uint64_t life(int balancer) const { return process(balancer).life; }

    /// When its present process started.
    TimePoint started_at(int balancer) const { return process(balancer).started_at; }

    void mark_stopped(int balancer);
    void mark_started(int balancer, TimePoint now);

    /// Queues an input. A balancer that does not run gets only its own end and endpoint lists.
    void send(int balancer, BalancerInput);

    /// Hands over all that is queued, in the order in which it was sent.
    void deliver(std::deque<SimulatedBalancer>&);

   private:
    struct Process {
        bool running = true;
        uint64_t life = 0;
        TimePoint started_at;
    };
    const Process& process(int balancer) const { return processes_[static_cast<size_t>(balancer)]; }

    std::vector<Process> processes_;
    std::vector<std::pair<int, BalancerInput>> outbox_;
};

}  // namespace headrouter::simulation
