/// A queue of events in virtual time.
#pragma once
#include <cstdint>
#include <queue>
#include <utility>
#include <vector>

#include "base/time.h"

namespace headrouter::simulation {

/// Events in the order of their times; those of equal times in the order in which they were scheduled, so
/// that one seed always gives the same run.
template <class Event>
class EventQueue {
   public:
    static constexpr TimePoint never{INT64_MAX};

    void schedule(TimePoint at, Event event) { pending_.push({at, scheduled_++, std::move(event)}); }

    /// The time of the event that is handled, or was handled last.
    TimePoint now() const { return now_; }

    /// The time of the next event; `never` where none is pending.
    TimePoint next() const { return pending_.empty() ? never : pending_.top().at; }

    /// How many events have been handled.
    uint64_t handled() const { return handled_; }

    /// Hands each event before `until` to `handle`, also those that are scheduled meanwhile.
    template <class Handler>
    void run(TimePoint until, const Handler& handle) {
        while (next() < until) {
            const Pending pending = pending_.top();
            pending_.pop();
            now_ = pending.at;
            ++handled_;
            handle(pending.event);
        }
    }

   private:
    struct Pending {
        TimePoint at;
        uint64_t order = 0;
        Event event;
        bool operator>(const Pending& other) const {
            return at != other.at ? at > other.at : order > other.order;
        }
    };
    std::priority_queue<Pending, std::vector<Pending>, std::greater<>> pending_;
    uint64_t scheduled_ = 0, handled_ = 0;
    TimePoint now_;
};

}  // namespace headrouter::simulation
