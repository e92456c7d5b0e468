// Two balancers and a small stand-in fleet on loopback, one of whose servers fails on the way.
#pragma once
#include <atomic>
#include <string>

namespace headrouter::experiments {

int demo(const std::string& program, double seconds_long, const std::atomic<bool>* stop);

}  // namespace headrouter::experiments
