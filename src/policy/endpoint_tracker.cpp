#include "policy/endpoint_tracker.h"

#include <algorithm>

#include "policy/timers.h"

namespace headrouter {

namespace {

// Jitter, as factors of the pause: balancers whose watches failed together must not retry together.
constexpr double min_pause_factor = 0.75;
constexpr double random_pause_factor = 0.5;

}  // namespace

void EndpointTracker::request(TimePoint now) {
    state_.is_request_pending = true;
    state_.requested_at = now;
    actions_.watch_endpoints();
}

void EndpointTracker::on_retry_timer(TimePoint now) {
    if (!state_.is_watching && !state_.is_request_pending) request(now);
}

void EndpointTracker::on_update(EndpointUpdateKind kind) {
    if (kind == EndpointUpdateKind::cached) return;
    state_.is_request_pending = false;
    state_.is_watching = true;
    state_.retry_pause = first_retry_pause;
}

void EndpointTracker::on_error(TimePoint now) {
    state_.is_request_pending = false;
    state_.is_watching = false;
    if (config_.polls_endpoints) {
        const Duration pause =
            state_.retry_pause * (min_pause_factor + random_pause_factor * random_.uniform());
        actions_.set_timer(now + pause, timer_token(TimerKind::retry_watch));
    }
    state_.retry_pause = std::min(state_.retry_pause * 2, max_retry_pause);
}

}  // namespace headrouter
