#include "testbed/timer_queue.h"

#include <algorithm>

#include "transport/clock.h"

namespace headrouter::testbed {

TimerQueue::TimerQueue(struct ev_loop* loop) : loop_(loop), start_(Clock::now()) {
    ev_timer_init(
        &timer_, [](struct ev_loop*, ev_timer* w, int) { static_cast<TimerQueue*>(w->data)->run_due(); }, 0,
        0);
    timer_.data = this;
}

TimerQueue::~TimerQueue() { ev_timer_stop(loop_, &timer_); }

void TimerQueue::begin() { begin(Clock::now()); }
void TimerQueue::begin(TimePoint start) {
    start_ = start;
    arm();
}
TimePoint TimerQueue::now() const { return TimePoint{} + (Clock::now() - start_); }

TimerQueue::Ticket TimerQueue::at(TimePoint when, std::function<void()> what) {
    const Ticket ticket{when, counted_++};
    due_.emplace(ticket, std::move(what));
    if (due_.begin()->first == ticket) arm();
    return ticket;
}

void TimerQueue::arm() {
    ev_timer_stop(loop_, &timer_);
    if (due_.empty()) return;
    ev_now_update(loop_);
    ev_timer_set(&timer_, std::max(0.0, to_seconds(due_.begin()->first.first - now())), 0);
    ev_timer_start(loop_, &timer_);
}

// Runs only the functions that were due when the call began, so that sockets are served in between.
void TimerQueue::run_due() {
    const TimePoint until = now();
    const uint64_t known = counted_;
    while (!due_.empty() && due_.begin()->first.first <= until && due_.begin()->first.second < known) {
        const auto first = due_.begin();
        const Duration late = until - first->first.first;
        worst_ = std::max(worst_, late);
        times_late_ += late > late_by;
        const auto what = std::move(first->second);
        due_.erase(first);
        what();
    }
    arm();
}

}  // namespace headrouter::testbed
