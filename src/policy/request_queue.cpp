#include "policy/request_queue.h"

#include <utility>

#include "policy/timers.h"

namespace headrouter {

namespace {

constexpr Duration retry_interval = millis(20);

}  // namespace

bool RequestQueue::has_time_for(TimePoint now, const RequestState& request) const {
    return request.deadline - now > retry_interval + config_.step * 2;
}

void RequestQueue::add(TimePoint now, RequestState& request) {
    if (!request.queued) state_.waiting.push_back(request.id);
    request.queued = true;
    if (!state_.has_timer) actions_.set_timer(now + retry_interval, timer_token(TimerKind::retry_queued));
    state_.has_timer = true;
}

std::deque<RequestId> RequestQueue::take_all() {
    state_.has_timer = false;
    return std::exchange(state_.waiting, {});
}

}  // namespace headrouter
