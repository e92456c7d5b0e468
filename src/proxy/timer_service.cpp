#include "proxy/timer_service.h"

#include <utility>
#include <vector>

#include "transport/clock.h"

namespace headrouter {

TimerService::TimerService(struct ev_loop* loop, Callback on_due)
    : on_due_(std::move(on_due)), watcher_(loop, [this] { run_due(); }) {}

void TimerService::set(TimePoint due, uint64_t token) {
    pending_.emplace(due, token);
    const bool is_first = pending_.begin()->first == due;
    if (started_ && is_first) arm();
}

void TimerService::start() {
    started_ = true;
    arm();
}

void TimerService::arm() {
    watcher_.stop();
    if (pending_.empty()) return;
    watcher_.start_once(pending_.begin()->first - Clock::now());
}

// Fires only the timers that are due at the beginning: a timer set by a callback fires in a later turn of the
// loop.
void TimerService::run_due() {
    const TimePoint now = Clock::now();
    std::vector<uint64_t> due;
    while (!pending_.empty() && pending_.begin()->first <= now) {
        due.push_back(pending_.begin()->second);
        pending_.erase(pending_.begin());
    }
    for (const uint64_t token : due) on_due_(token);
    arm();
}

}  // namespace headrouter
