// Means over seeds and how sure they are: Student's t, 95 per cent, two-sided.
#pragma once
#include <cstddef>
#include <vector>

namespace headrouter::experiments {

struct Mean {
    double value = 0, half = 0;  // the interval is value - half to value + half; infinite from a single run
    size_t n = 0;
};

Mean mean_of(const std::vector<double>&);
// Of the differences run by run, where the same seeds were played: what the seeds share falls out.
Mean paired_difference(const std::vector<double>& a, const std::vector<double>& b);
double quantile(std::vector<double>, double q);  // between neighbours in a straight line; 0 of nothing

}  // namespace headrouter::experiments
