#include "policy/surplus_drain.h"

#include <algorithm>

namespace headrouter {

std::optional<TimePoint> SurplusDrain::start(TimePoint now, double load, int steps, Duration duration,
                                             Pcg32& random) {
    remaining_ = load;
    interval_ = duration * (1.0 / std::max(1, steps));
    if (is_active_ || load <= 0) return std::nullopt;
    is_active_ = true;
    return now + interval_ * random.uniform();
}

bool SurplusDrain::begin_step() {
    is_active_ = false;
    return remaining_ > 0;
}

std::optional<TimePoint> SurplusDrain::end_step(TimePoint now, double migrated) {
    remaining_ -= migrated;
    if (remaining_ <= 0) return std::nullopt;
    is_active_ = true;
    return now + interval_;
}

double SurplusDrain::record_excess(TimePoint now, double excess) {
    excess_.raise_to(now, excess);
    return excess_.max_bucket(now);
}

}  // namespace headrouter
