#include "testbed/event_loop_thread.h"

#include <sys/resource.h>
#include <sys/syscall.h>
#include <unistd.h>

namespace headrouter::testbed {

namespace {
// Nice value, set if permitted: the test bed shares the cores with the balancers it judges, and a test bed
// that runs late cannot judge them.
constexpr int ahead_of_balancers = -5;
}  // namespace

EventLoopThread::EventLoopThread() : timers_(loop_.loop) {
    ev_async_init(&woken_, [](struct ev_loop* loop, ev_async* w, int) {
        EventLoopThread& s = *static_cast<EventLoopThread*>(w->data);
        std::vector<std::function<void()>> now;
        {
            const std::lock_guard held(s.posts_);
            now.swap(s.posted_);
            if (s.over_) ev_break(loop, EVBREAK_ALL);
        }
        for (const auto& what : now) what();
    });
    woken_.data = this;
    ev_async_start(loop_.loop, &woken_);
}

EventLoopThread::~EventLoopThread() {
    end();
    ev_async_stop(loop_.loop, &woken_);
}

void EventLoopThread::run() {
    thread_ = std::thread([this] {
        setpriority(PRIO_PROCESS, static_cast<id_t>(syscall(SYS_gettid)), ahead_of_balancers);
        ev_run(loop_.loop, 0);
    });
}

void EventLoopThread::post(std::function<void()> what) {
    const std::lock_guard held(posts_);
    posted_.push_back(std::move(what));
    ev_async_send(loop_.loop, &woken_);
}

void EventLoopThread::end() {
    if (!thread_.joinable()) return;
    {
        const std::lock_guard held(posts_);
        over_ = true;
        ev_async_send(loop_.loop, &woken_);
    }
    thread_.join();
}

}  // namespace headrouter::testbed
