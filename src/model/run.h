// A run in virtual time: the world of clients, servers and the list on one side, balancers on the other. What
// one side does reaches the other a latency later, so that both may run through a window no longer than the
// shortest latency side by side, on any number of threads, to the same end (conservative synchronisation:
// Chandy and Misra, 1979). One seed gives one digest.
#pragma once
#include <atomic>

#include "fleet/outcome.h"
#include "model/policy.h"

namespace headrouter::model {

struct Arm {
    std::string name = "brain";
    PolicyKind policy = PolicyKind::brain;
};

// `stop`, where given, ends the run at the next window; its outcome then says that it is partial.
fleet::Outcome run(const fleet::World&, const Arm&, uint64_t seed, int threads,
                   const std::atomic<bool>* stop = nullptr);

}  // namespace headrouter::model
