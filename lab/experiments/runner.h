// Plays an experiment: every point, arm and seed once, several at a time where they are runs of the model.
// The order of what comes out never depends on which run ended first.
#pragma once
#include <atomic>
#include <functional>

#include "experiments/experiment.h"
#include "scenario/outcome.h"

namespace headrouter::experiments {

enum class On { model, sockets };

struct Playing {
    On on = On::model;
    int threads = 1;
    std::string program;  // the balancer, for runs on sockets
    const std::atomic<bool>* stop = nullptr;
    std::function<void(const scenario::Outcome&)> done;    // in the order of points, arms and seeds
    std::function<void(size_t done, size_t of)> progress;  // may be empty
};

std::vector<scenario::Outcome> play(const Experiment&, const Playing&);

// Arms side by side over the seeds, at each point: a table, and what differs from the first arm for sure.
std::string table_of(const Experiment&, const std::vector<scenario::Outcome>&);

}  // namespace headrouter::experiments
