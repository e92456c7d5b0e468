#include "policy/endpoint_tracker.h"

#include <algorithm>

#include "policy/timers.h"

namespace headrouter {

namespace {

// Parts of the pause, its jitter: balancers that failed together must not ask together again.
constexpr double least_pause_part = 0.75;
constexpr double random_pause_part = 0.5;

}  // namespace

void EndpointTracker::request(TimePoint now) {
    is_asked_ = true;
    asked_at_ = now;
    actions_.watch_endpoints();
}

void EndpointTracker::on_retry_timer(TimePoint now) {
    if (!is_watching_ && !is_asked_) request(now);
}

void EndpointTracker::on_update(EndpointUpdateKind kind) {
    if (kind == EndpointUpdateKind::cached) return;
    is_asked_ = false;
    is_watching_ = true;
    retry_pause_ = first_retry_pause;
}

void EndpointTracker::on_error(TimePoint now) {
    is_asked_ = false;
    is_watching_ = false;
    if (config_.polls_endpoints) {
        const Duration pause = retry_pause_ * (least_pause_part + random_pause_part * random_.uniform());
        actions_.set_timer(now + pause, timer_token(TimerKind::retry_watch));
    }
    retry_pause_ = std::min(retry_pause_ * 2, longest_retry_pause);
}

}  // namespace headrouter
