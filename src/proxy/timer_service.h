/// Timers of the policy, run by the event loop.
#pragma once
#include <cstdint>
#include <functional>
#include <map>

#include "base/time.h"
#include "transport/event_watcher.h"

namespace headrouter {

/// Keeps timers, each with a due time and a token, and calls back with the token of each timer that is due.
/// Used on the event loop's thread.
class TimerService {
   public:
    /// Tokens by due time.
    using PendingTimers = std::multimap<TimePoint, uint64_t>;
    using Callback = std::function<void(uint64_t token)>;

    TimerService(struct ev_loop* loop, Callback on_due);

    /// Adds a timer.
    void set(TimePoint due, uint64_t token);
    /// Enables the callbacks. No timer fires before start(), as a starting process must not act on timers.
    void start();

    /// Returns all timers that have not fired, for a hot restart. After a change, call start() to rearm.
    PendingTimers& pending() { return pending_; }

   private:
    void arm();
    void run_due();

    Callback on_due_;
    TimerWatcher watcher_;
    PendingTimers pending_;
    bool started_ = false;
};

}  // namespace headrouter
