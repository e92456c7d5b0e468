#include "simulation/balancer_mailboxes.h"

namespace headrouter::simulation {

void BalancerMailboxes::mark_stopped(int balancer) {
    Process& process = processes_[static_cast<size_t>(balancer)];
    process.running = false;
    ++process.life;
}

void BalancerMailboxes::mark_started(int balancer, TimePoint now) {
    Process& process = processes_[static_cast<size_t>(balancer)];
    process.running = true;
    process.started_at = now;
}

void BalancerMailboxes::send(int balancer, BalancerInput input) {
    const bool is_for_any_process = std::holds_alternative<ProcessKilled>(input.event) ||
                                    std::holds_alternative<EndpointsReceived>(input.event);
    if (is_running(balancer) || is_for_any_process) outbox_.emplace_back(balancer, std::move(input));
}

void BalancerMailboxes::deliver(std::deque<SimulatedBalancer>& balancers) {
    for (auto& [balancer, input] : outbox_)
        balancers[static_cast<size_t>(balancer)].receive(std::move(input));
    outbox_.clear();
}

}  // namespace headrouter::simulation
