#include "experiments/measures.h"

#include <algorithm>
#include <array>
#include <stdexcept>
#include <string_view>

#include "experiments/measure_definitions.h"
#include "experiments/measure_fleet.h"
#include "experiments/measure_operations.h"

namespace headrouter::experiments {

namespace {

struct Measure {
    std::string_view name;
    int (*run)(const Measuring&);
};

constexpr std::array measures{Measure{"model-speed", model_speed},   Measure{"model-fit", model_fit},
                              Measure{"baselines", baselines},       Measure{"capture-cost", capture_cost},
                              Measure{"replay-speed", replay_speed}, Measure{"ops-answers", ops_answers},
                              Measure{"upgrade", upgrade},           Measure{"crowd-spread", fleet_spread},
                              Measure{"crowd-faults", fleet_faults}};

}  // namespace

std::vector<std::string> measure_names() {
    std::vector<std::string> names;
    for (const Measure& measure : measures) names.emplace_back(measure.name);
    return names;
}

int measure(const std::string& name, const Measuring& how) {
    const auto* const found =
        std::find_if(measures.begin(), measures.end(), [&](const Measure& m) { return m.name == name; });
    if (found == measures.end()) throw std::invalid_argument("no measure is named " + name);
    return found->run(how);
}

}  // namespace headrouter::experiments
