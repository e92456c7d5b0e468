// Claims with their proof: each prints a table and, last, one line of JSON with `ok`.
#pragma once
#include <atomic>
#include <string>
#include <vector>

namespace headrouter::experiments {

struct Measuring {
    bool quick = false;
    int threads = 1;
    std::string program;  // the balancer
    std::string other;    // another build of it, beside; empty: none
    std::string clock;    // the library that sets wall clocks wrong
    const std::atomic<bool>* stop = nullptr;
};

std::vector<std::string> measure_names();
// The exit code: 0 only where the claim holds; 3 where it could not be judged.
int measure(const std::string& name, const Measuring&);

}  // namespace headrouter::experiments
