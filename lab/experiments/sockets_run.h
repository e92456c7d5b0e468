// An experiment's run against real balancers on loopback: child processes of the program, everything else a
// stand-in in this one. One run at a time in a process.
#pragma once
#include <atomic>
#include <functional>
#include <string>

#include "scenario/outcome.h"

namespace headrouter::experiments {

struct Extras {
    std::string log_folder;     // where balancers' logs go; empty: a folder of the run's own that is removed
    std::string operator_file;  // for `serve --operator`
    std::function<void(size_t second, const scenario::Outcome&, size_t up)> each;
    double* cpu_seconds = nullptr;  // of all balancers together
};

// Throws std::runtime_error where the run cannot begin at all.
scenario::Outcome run_on_sockets(const scenario::Scenario&, const std::string& arm, uint64_t seed,
                                 const std::string& program, const std::atomic<bool>* stop,
                                 const Extras& = {});

// What a run on sockets needs of descriptors in this process, and in each balancer.
int descriptors_needed(const scenario::Scenario&);

}  // namespace headrouter::experiments
