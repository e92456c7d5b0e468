// A run in virtual time: the world of clients, servers and the list on one side, balancers on the other. What
// one side does reaches the other a latency later, so that both may run through a window no longer than the
// shortest latency side by side, on any number of threads, to the same end (conservative synchronisation:
// Chandy and Misra, 1979). One seed gives one digest.
#pragma once
#include <atomic>
#include <memory>
#include <string>
#include <vector>

#include "scenario/outcome.h"
#include "scenario/session.h"
#include "simulation/policy_factory.h"

namespace headrouter::simulation {

// Clients and actions from elsewhere, in place of those that are drawn.
struct Given {
    std::vector<scenario::Session> sessions;
    std::vector<scenario::ScheduledAction> actions;
};

struct Arm {
    std::string name = "brain";
    PolicyKind policy = PolicyKind::balancing;
    std::shared_ptr<const Given> given{};
    std::string record_to{};  // a folder for captures of what each BalancingPolicy is told; empty: none
};

// `stop`, where given, ends the run at the next window; its outcome then says that it is partial.
scenario::Outcome run(const scenario::Scenario&, const Arm&, uint64_t seed, int threads,
                      const std::atomic<bool>* stop = nullptr);

}  // namespace headrouter::simulation
