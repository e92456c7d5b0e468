// An experiment as its file words it: a world, what is compared on it, from which seeds. docs/lab.md tells
// the format. Each arm and each swept value has a whole world of its own, read before anything runs.
#pragma once
#include <string>
#include <vector>

#include "scenario/scenario.h"
#include "simulation/simulation.h"

namespace headrouter::experiments {

struct Arm {
    simulation::Arm placing;
    scenario::Scenario world;
};

struct Point {  // of a sweep; one without a key where nothing is swept
    double value = 0;
    std::vector<Arm> arms;
};

struct Experiment {
    std::string name, swept;  // the key that a sweep sets, "traffic.use"
    std::vector<uint64_t> seeds;
    std::vector<Point> points;
};

// Throws ParseError: file, line, key, what was expected.
Experiment read_experiment(const std::string& text, const std::string& file);
scenario::Scenario read_world(const std::string& text, const std::string& file = "world");

}  // namespace headrouter::experiments
