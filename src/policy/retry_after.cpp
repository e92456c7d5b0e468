#include "policy/retry_after.h"

namespace headrouter {

namespace {

// Parts of the longest retry-after.
constexpr double least_part = 0.3;
constexpr double shortage_part = 0.2;

}  // namespace

Duration random_retry_after(const PolicyConfig& config, Pcg32& random) {
    if (!config.advises_retry_after) return Duration{};
    return config.max_retry_after * (least_part + (1 - least_part) * random.uniform());
}

Duration shortage_retry_after(const PolicyConfig& config) { return config.max_retry_after * shortage_part; }

}  // namespace headrouter
