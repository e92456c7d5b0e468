#include "policy/surplus_drain.h"

#include <algorithm>

namespace headrouter {

std::optional<TimePoint> SurplusDrain::start(TimePoint now, double load, int steps, Duration duration,
                                             Pcg32& random) {
    state_.remaining = load;
    state_.interval = duration * (1.0 / std::max(1, steps));
    if (state_.is_active || load <= 0) return std::nullopt;
    state_.is_active = true;
    return now + state_.interval * random.uniform();
}

bool SurplusDrain::begin_step() {
    state_.is_active = false;
    return state_.remaining > 0;
}

std::optional<TimePoint> SurplusDrain::end_step(TimePoint now, double migrated) {
    state_.remaining -= migrated;
    if (state_.remaining <= 0) return std::nullopt;
    state_.is_active = true;
    return now + state_.interval;
}

double SurplusDrain::record_excess(TimePoint now, double excess) {
    state_.excess.raise_to(now, excess);
    return state_.excess.max_bucket(now);
}

}  // namespace headrouter
