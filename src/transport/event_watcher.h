/// RAII wrappers of libev's watchers. A watcher belongs to one event loop, runs its callback on the loop's
/// thread, and stops when it is destroyed. The loop must outlive the watcher. A callback may stop or start
/// its own watcher; it may destroy the watcher only as its last action.
#pragma once
#include <ev.h>

#include <algorithm>
#include <functional>
#include <type_traits>
#include <utility>

#include "base/time.h"

namespace headrouter {

/// Implements what all watchers have in common. `Watcher` is libev's watcher type; `start_function` and
/// `stop_function` are libev's functions for this type.
template <class Watcher, class CallbackFunction, auto start_function, auto stop_function>
class EventWatcher {
   public:
    using Callback = CallbackFunction;

    /// If several watchers have pending events, the one with the highest `priority` is called first.
    EventWatcher(struct ev_loop* loop, Callback callback, int priority = 0)
        : loop_(loop), callback_(std::move(callback)) {
        ev_init(&watcher_, &EventWatcher::dispatch);
        ev_set_priority(&watcher_, priority);
        watcher_.data = this;
    }
    ~EventWatcher() { stop(); }
    EventWatcher(const EventWatcher&) = delete;
    EventWatcher& operator=(const EventWatcher&) = delete;

    /// Stops the watcher. Does nothing if it is not active.
    void stop() {
        if (in_background_) ev_ref(loop_);
        in_background_ = false;
        stop_function(loop_, &watcher_);
    }

    bool is_active() const { return ev_is_active(&watcher_); }

    /// Lets ev_run() return although this watcher is active, until the watcher is stopped. Otherwise an
    /// active watcher keeps ev_run() from returning. Does nothing if the watcher is not active.
    void run_in_background() {
        if (!is_active() || in_background_) return;
        in_background_ = true;
        ev_unref(loop_);
    }

   protected:
    void activate() { start_function(loop_, &watcher_); }
    struct ev_loop* loop() const {
        return loop_;
    }
    Watcher& watcher() { return watcher_; }

   private:
    static void dispatch(struct ev_loop* /*loop*/, Watcher* watcher, int events) {
        EventWatcher& self = *static_cast<EventWatcher*>(watcher->data);
        if constexpr (std::is_invocable_v<Callback, int>)
            self.callback_(events);
        else
            self.callback_();
    }

    struct ev_loop* loop_;
    Callback callback_;
    Watcher watcher_{};
    bool in_background_ = false;
};

/// Calls back when a file descriptor becomes readable or writable; `events` is EV_READ, EV_WRITE or both.
/// Does not own the descriptor.
class IoWatcher : public EventWatcher<ev_io, std::function<void(int events)>, ev_io_start, ev_io_stop> {
   public:
    using EventWatcher::EventWatcher;

    /// Watches `fd` for `events` (EV_READ, EV_WRITE), replacing the previous descriptor and events. Watches
    /// nothing if `events` is 0.
    void start(int fd, int events) {
        stop();
        ev_io_set(&watcher(), fd, events);
        if (events != 0) activate();
    }
};

/// Calls back once after a delay, or repeatedly at an interval.
class TimerWatcher : public EventWatcher<ev_timer, std::function<void()>, ev_timer_start, ev_timer_stop> {
   public:
    using EventWatcher::EventWatcher;

    /// Calls back once after `delay` from now. A negative delay counts as zero.
    void start_once(Duration delay) {
        ev_now_update(loop());  // the cached time is from the start of the iteration, which may take long
        start(to_seconds(delay), 0);
    }

    /// Calls back every `interval`, the first time one interval from now.
    void start_repeating(Duration interval) { start(to_seconds(interval), to_seconds(interval)); }

   private:
    void start(ev_tstamp after, ev_tstamp interval) {
        stop();
        ev_timer_set(&watcher(), std::max(0.0, after), interval);
        activate();
    }
};

/// Calls back each time before the event loop waits for events.
class PrepareWatcher
    : public EventWatcher<ev_prepare, std::function<void()>, ev_prepare_start, ev_prepare_stop> {
   public:
    using EventWatcher::EventWatcher;

    void start() { activate(); }
};

/// Calls back when the process receives a signal. Works only with libev's default loop.
class SignalWatcher : public EventWatcher<ev_signal, std::function<void()>, ev_signal_start, ev_signal_stop> {
   public:
    SignalWatcher(struct ev_loop* loop, int signal_number, Callback callback)
        : EventWatcher(loop, std::move(callback)) {
        ev_signal_set(&watcher(), signal_number);
        activate();
    }
};

}  // namespace headrouter
