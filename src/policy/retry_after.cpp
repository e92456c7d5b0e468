#include "policy/retry_after.h"

namespace headrouter {

namespace {

// Fractions of `max_retry_after`.
constexpr double min_fraction = 0.3;
constexpr double shortage_fraction = 0.2;

}  // namespace

Duration random_retry_after(const PolicyConfig& config, Pcg32& random) {
    if (!config.advises_retry_after) return Duration{};
    return config.max_retry_after * (min_fraction + (1 - min_fraction) * random.uniform());
}

Duration shortage_retry_after(const PolicyConfig& config) {
    return config.max_retry_after * shortage_fraction;
}

}  // namespace headrouter
