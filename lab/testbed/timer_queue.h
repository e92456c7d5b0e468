// Runs functions at later times on one libev timer, and keeps the time of a test bed, which counts from its
// start, so that a script means the same on the model and on sockets. An owner that may be destroyed before
// its function runs guards it with an `alive_` flag.
#pragma once
#include <ev.h>

#include <functional>
#include <map>

#include "base/time.h"

namespace headrouter::testbed {

class TimerQueue {
   public:
    explicit TimerQueue(struct ev_loop*);
    ~TimerQueue();
    TimerQueue(const TimerQueue&) = delete;
    TimerQueue& operator=(const TimerQueue&) = delete;

    struct ev_loop* loop() const {
        return loop_;
    }
    void begin();           // starts the test bed's time now
    void begin(TimePoint);  // sets the start by the steady clock, for test beds on several threads
    TimePoint now() const;  // the time since the start
    using Ticket = std::pair<TimePoint, uint64_t>;
    Ticket at(TimePoint, std::function<void()>);
    Ticket in(Duration span, std::function<void()> what) { return at(now() + span, std::move(what)); }
    void cancel(Ticket ticket) { due_.erase(ticket); }
    // The largest lateness of a due function, and how often the lateness exceeded `late_by`.
    Duration worst_lateness() const { return worst_; }
    int times_late() const { return times_late_; }
    static constexpr Duration late_by = millis(100);

   private:
    void run_due();
    void arm();
    struct ev_loop* loop_;
    ev_timer timer_{};
    TimePoint start_;
    std::map<Ticket, std::function<void()>> due_;
    uint64_t counted_ = 0;
    Duration worst_;
    int times_late_ = 0;
};

}  // namespace headrouter::testbed
