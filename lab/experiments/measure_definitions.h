/// The measures, each in a file of its own; measures.h finds them by their names.
#pragma once
#include "experiments/measures.h"

namespace headrouter::experiments {

/// How fast the simulation plays, and that one seed gives one digest at any number of threads.
int model_speed(const Measuring&);

/// How far the simulation's service is from that of real processes on sockets.
int model_fit(const Measuring&);

/// The policy beside the baselines, with one incident or two.
int baselines(const Measuring&);

/// What recording costs a busy balancer.
int capture_cost(const Measuring&);

/// How fast a capture is replayed, in how much memory.
int replay_speed(const Measuring&);

}  // namespace headrouter::experiments
