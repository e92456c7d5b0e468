// A capture's arrivals and list as a run of the model: the same clients come at the same times and the same
// servers drain, go and return, but what follows from the decisions follows anew (closed loop), with this
// build.
#pragma once
#include <string>
#include <vector>

#include "scenario/schedule.h"
#include "scenario/session.h"
#include "simulation/simulation.h"

namespace headrouter::experiments {

struct FromCapture {
    simulation::Given given;
    std::vector<std::string> servers;  // as the capture names them, in the order of the model's numbers
    int types = 0;                     // request classes that its requests name
    Duration length;
    uint64_t requests = 0, clients = 0;
};

// One balancer's recording. A client is a key: from its first call to the end of its last one, or the
// capture's. Throws ParseError where nothing can be played.
FromCapture read_capture(const std::vector<std::string>& paths);

// The experiment's first arm on that: its servers and types must be as many as the capture needs.
void play_capture(const FromCapture&, scenario::Scenario&, simulation::Arm&);

}  // namespace headrouter::experiments
