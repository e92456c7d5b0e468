#include "policy/outlier_detector.h"

#include <algorithm>
#include <cmath>

namespace headrouter {

void OutlierDetector::on_failure(TimePoint now, double penalty) {
    state_.failure_penalty = std::min(max_penalty, failure_penalty(now) + penalty);
    state_.penalty_at = now;
    state_.consecutive_failures = std::min(state_.consecutive_failures + 1, max_consecutive_failures);
    const Duration backoff = initial_backoff * static_cast<double>(1 << (state_.consecutive_failures - 1));
    state_.backoff_until = std::max(state_.backoff_until, now + std::min(backoff, max_backoff));
}

bool OutlierDetector::on_reset(TimePoint now, size_t connections) {
    state_.consecutive_resets = now - state_.reset_at < crash_window ? state_.consecutive_resets + 1 : 1;
    state_.reset_at = now;
    on_failure(now, penalty_reset);
    return state_.consecutive_resets >= min_crash_resets &&
           state_.consecutive_resets >= static_cast<int>(connections);
}

void OutlierDetector::on_established(TimePoint now) {
    state_.consecutive_failures = 0;
    state_.backoff_until = TimePoint{};
    state_.failure_penalty = std::max(0.0, failure_penalty(now) - established_penalty_reduction);
    state_.penalty_at = now;
}

void OutlierDetector::on_restart() {
    state_.failure_penalty = 0;
    state_.consecutive_failures = 0;
    state_.backoff_until = TimePoint{};
    state_.ejected_until = TimePoint{};
}

bool OutlierDetector::end_cycle(TimePoint now) {
    const int kept = state_.sent_in_cycle - state_.lost_in_cycle;
    const bool ejected =
        state_.sent_in_cycle >= min_sent_to_eject && kept < state_.sent_in_cycle * min_kept_fraction;
    if (ejected) state_.ejected_until = now + ejection_time;
    state_.sent_in_cycle = 0;
    state_.lost_in_cycle = 0;
    return ejected;
}

bool OutlierDetector::allows_attempt(TimePoint now, int pending_attempts) const {
    if (is_ejected(now) || is_in_backoff(now)) return false;
    const bool is_probe_pending = is_failing() && pending_attempts > 0;
    return !is_probe_pending;
}

double OutlierDetector::failure_penalty(TimePoint now) const {
    return state_.failure_penalty * std::exp2(-((now - state_.penalty_at) / penalty_half_life));
}

bool OutlierDetector::is_healthy(TimePoint now) const {
    return !is_failing() && !is_ejected(now) && failure_penalty(now) < negligible_penalty;
}

}  // namespace headrouter
