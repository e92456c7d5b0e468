#include "policy/slow_start.h"

#include <algorithm>

namespace headrouter {

void SlowStart::begin(TimePoint now, TimePoint started) {
    started_ = started;
    is_restart_expected_ = false;
    permits_.reset(now);
}

double SlowStart::factor(TimePoint now, Duration duration) const {
    if (!started_ || duration.ns <= 0) return 1;
    return std::clamp((now - *started_) / duration, 0.0, 1.0);
}

bool SlowStart::has_permit(TimePoint now, double load, const slow_start::SlowStartConfig& config,
                           double capacity, uint64_t server_hash) {
    permits_.update(now, *started_, config, capacity, server_hash);
    return permits_.is_available(load, config);
}

}  // namespace headrouter
