// An experiment's run against real balancers on loopback: child processes of the program, everything else a
// stand-in in this one. One run at a time in a process.
#pragma once
#include <atomic>
#include <functional>
#include <string>

#include "fleet/outcome.h"

namespace headrouter::lab {

// Throws std::runtime_error where the run cannot begin at all. `log_folder`: where balancers' logs go; empty:
// a folder of the run's own that is removed.
fleet::Outcome run_on_sockets(
    const fleet::World&, const std::string& arm, uint64_t seed, const std::string& program,
    const std::atomic<bool>* stop, const std::string& log_folder = "",
    const std::function<void(size_t second, const fleet::Outcome&, size_t up)>& each = {});

// What a run on sockets needs of descriptors in this process, and in each balancer.
int descriptors_needed(const fleet::World&);

}  // namespace headrouter::lab
