#include "experiments/statistics.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>

namespace headrouter::experiments {

// The 97.5 per cent point of Student's t by degrees of freedom.
static double student(size_t freedom) {
    constexpr std::array<double, 30> point{12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306,
                                           2.262,  2.228, 2.201, 2.179, 2.160, 2.145, 2.131, 2.120,
                                           2.110,  2.101, 2.093, 2.086, 2.080, 2.074, 2.069, 2.064,
                                           2.060,  2.056, 2.052, 2.048, 2.045, 2.042};
    if (freedom == 0) return std::numeric_limits<double>::infinity();
    if (freedom <= point.size()) return point[freedom - 1];
    return 1.96 + 2.4 / static_cast<double>(freedom);
}

Mean mean_of(const std::vector<double>& all) {
    Mean m;
    m.n = all.size();
    if (all.empty()) return m;
    const auto n = static_cast<double>(all.size());
    for (const double x : all) m.value += x / n;
    if (all.size() < 2) return m.half = std::numeric_limits<double>::infinity(), m;
    double squares = 0;
    for (const double x : all) squares += (x - m.value) * (x - m.value);
    m.half = student(all.size() - 1) * std::sqrt(squares / (n - 1) / n);
    return m;
}

Mean paired_difference(const std::vector<double>& a, const std::vector<double>& b) {
    std::vector<double> differences;
    for (size_t k = 0; k < std::min(a.size(), b.size()); ++k) differences.push_back(a[k] - b[k]);
    return mean_of(differences);
}

double quantile(std::vector<double> all, double q) {
    if (all.empty()) return 0;
    std::sort(all.begin(), all.end());
    const double at = q * static_cast<double>(all.size() - 1);
    const auto low = static_cast<size_t>(at);
    const size_t high = std::min(low + 1, all.size() - 1);
    return all[low] + (all[high] - all[low]) * (at - static_cast<double>(low));
}

}  // namespace headrouter::experiments
