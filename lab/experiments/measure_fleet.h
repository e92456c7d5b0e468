// Claims about many balancers together, measured on processes of the program with stand-in servers.
#pragma once
#include "experiments/measures.h"

namespace headrouter::experiments {

int fleet_spread(const Measuring&);  // how evenly servers are loaded on calm days
int fleet_faults(const Measuring&);  // before, during and ten seconds after each kind of fault

}  // namespace headrouter::experiments
