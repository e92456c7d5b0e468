#include "policy/slow_start.h"

#include <algorithm>

namespace headrouter {

void SlowStart::begin(TimePoint now, TimePoint started) {
    state_.started = started;
    state_.is_restart_expected = false;
    state_.permits.reset(now);
}

double SlowStart::factor(TimePoint now, Duration duration) const {
    if (!state_.started || duration.ns <= 0) return 1;
    return std::clamp((now - *state_.started) / duration, 0.0, 1.0);
}

bool SlowStart::has_permit(TimePoint now, double load, const slow_start::SlowStartConfig& config,
                           double capacity, uint64_t server_hash) {
    state_.permits.update(now, *state_.started, config, capacity, server_hash);
    return state_.permits.is_available(load, config);
}

}  // namespace headrouter
