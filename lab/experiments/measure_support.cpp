#include "experiments/measure_support.h"

#include <cstdlib>
#include <filesystem>
#include <stdexcept>
#include <thread>

namespace headrouter::experiments {

const char* const mixed_fleet = R"(
[[fleet.kind]]
name = "large"
share = 0.4
cores = 4
weight = 1.2
cold_from = 0.35
cold_time = "8s"
[[fleet.kind]]
name = "small"
share = 0.6
cores = 3
speed = 0.8
weight = 0.8
cold_from = 0.35
cold_time = "8s"
)";

std::string machine() { return std::to_string(std::thread::hardware_concurrency()) + " cores"; }

TempFolder::TempFolder()
    : path_((std::filesystem::temp_directory_path() / "headrouter-measure-XXXXXX").string()) {
    if (!mkdtemp(path_.data())) throw std::runtime_error("no folder for the measurement");
}

TempFolder::~TempFolder() {
    std::error_code ignored;
    std::filesystem::remove_all(path_, ignored);
}

}  // namespace headrouter::experiments
