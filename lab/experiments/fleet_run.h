// An experiment's run against a crowd of real balancers: up to 300 processes of the program, or of two
// programs, on loopback; everything else a stand-in on this process's threads, faults by script.
#pragma once
#include <atomic>
#include <functional>
#include <string>
#include <string_view>

#include "scenario/outcome.h"

namespace headrouter::experiments {

constexpr int most_balancers = 300, most_servers = 90;

struct FleetRunOptions {
    std::string program;     // the balancer
    std::string clock;       // the library that sets wall clocks wrong; only loaded where a script has that
    std::string log_folder;  // where logs and configurations go; empty: a folder of the run's own, removed
    std::string operator_file;
    const std::atomic<bool>* stop = nullptr;
    std::function<void(TimePoint, int from, int to, std::string_view)> datagrams;  // sees each, on its thread
};

// Throws std::runtime_error where the run cannot begin at all: no program, no addresses, one that never gets
// ready.
scenario::Outcome run_process_fleet(const scenario::Scenario&, const std::string& arm, uint64_t seed,
                                    const FleetRunOptions&);

// A table of the outcomes, an arm a line, and the stretches round the faults.
std::string process_fleet_table(const std::vector<scenario::Outcome>&);

}  // namespace headrouter::experiments
