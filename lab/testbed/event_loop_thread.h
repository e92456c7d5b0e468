// Runs one part of a test bed on its own thread, with its own event loop and timer queue. The objects on the
// thread are created before it runs and destroyed after it has ended; in between, other threads may call only
// functions that are documented as safe for it.
#pragma once
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

#include "testbed/timer_queue.h"

namespace headrouter::testbed {

class EventLoopThread {
   public:
    EventLoopThread();
    ~EventLoopThread();
    EventLoopThread(const EventLoopThread&) = delete;
    EventLoopThread& operator=(const EventLoopThread&) = delete;

    TimerQueue& timers() { return timers_; }
    void run();                             // starts the thread
    void post(std::function<void()> what);  // runs `what` on the thread soon
    void end();                             // ends the thread and waits for it; a second call does nothing

   private:
    struct Loop {
        struct ev_loop* loop = ev_loop_new(EVFLAG_AUTO);
        Loop() = default;
        ~Loop() { ev_loop_destroy(loop); }
        Loop(const Loop&) = delete;
        Loop& operator=(const Loop&) = delete;
    } loop_;
    TimerQueue timers_;
    ev_async woken_{};
    std::mutex posts_;
    std::vector<std::function<void()>> posted_;
    bool over_ = false;
    std::thread thread_;
};

}  // namespace headrouter::testbed
