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
    if (!request.queued) waiting_.push_back(request.id);
    request.queued = true;
    if (!has_timer_) actions_.set_timer(now + retry_interval, timer_token(TimerKind::retry_queued));
    has_timer_ = true;
}

std::deque<RequestId> RequestQueue::take_all() {
    has_timer_ = false;
    return std::exchange(waiting_, {});
}

}  // namespace headrouter
