#include "policy/outlier_detector.h"

#include <algorithm>
#include <cmath>

namespace headrouter {

void OutlierDetector::on_failure(TimePoint now, double penalty) {
    failure_penalty_ = std::min(largest_penalty, failure_penalty(now) + penalty);
    penalty_at_ = now;
    consecutive_failures_ = std::min(consecutive_failures_ + 1, most_failures_counted);
    const Duration backoff = first_backoff * static_cast<double>(1 << (consecutive_failures_ - 1));
    backoff_until_ = std::max(backoff_until_, now + std::min(backoff, longest_backoff));
}

bool OutlierDetector::on_reset(TimePoint now, size_t connections) {
    consecutive_resets_ = now - reset_at_ < crash_window ? consecutive_resets_ + 1 : 1;
    reset_at_ = now;
    on_failure(now, penalty_reset);
    return consecutive_resets_ >= fewest_resets_of_crash &&
           consecutive_resets_ >= static_cast<int>(connections);
}

void OutlierDetector::on_established(TimePoint now) {
    consecutive_failures_ = 0;
    backoff_until_ = TimePoint{};
    failure_penalty_ = std::max(0.0, failure_penalty(now) - penalty_forgiven);
    penalty_at_ = now;
}

void OutlierDetector::on_restart() {
    failure_penalty_ = 0;
    consecutive_failures_ = 0;
    backoff_until_ = TimePoint{};
    ejected_until_ = TimePoint{};
}

bool OutlierDetector::end_cycle(TimePoint now) {
    const int kept = sent_in_cycle_ - lost_in_cycle_;
    const bool ejected = sent_in_cycle_ >= fewest_sent_to_judge && kept < sent_in_cycle_ * least_kept;
    if (ejected) ejected_until_ = now + ejection_time;
    sent_in_cycle_ = 0;
    lost_in_cycle_ = 0;
    return ejected;
}

bool OutlierDetector::allows_attempt(TimePoint now, int pending_attempts) const {
    if (is_ejected(now) || is_in_backoff(now)) return false;
    const bool is_probed = is_failing() && pending_attempts > 0;
    return !is_probed;
}

double OutlierDetector::failure_penalty(TimePoint now) const {
    return failure_penalty_ * std::exp2(-((now - penalty_at_) / penalty_half_life));
}

bool OutlierDetector::is_clear(TimePoint now) const {
    return !is_failing() && !is_ejected(now) && failure_penalty(now) < negligible_penalty;
}

}  // namespace headrouter
