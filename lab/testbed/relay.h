// Relays TCP connections between two peers with scripted faults: bytes are delayed, held or throttled, and
// connections are cut in the middle of a line, reset, or passed in one direction only, until the path heals.
// Each direction is buffered up to a limit; beyond it the sender is no longer read, like a full pipe.
#pragma once
#include <deque>
#include <list>
#include <memory>

#include "testbed/acceptor.h"
#include "testbed/timer_queue.h"

namespace headrouter::testbed {

class Relay {
   public:
    struct Fault {
        Duration delay;             // of every byte
        bool stalled = false;       // no bytes pass in either direction
        bool half_open = false;     // bytes from the far side are lost, and it does not learn of an end
        double bytes_a_second = 0;  // 0: unlimited
        int64_t cut_after = -1;     // bytes that still pass towards the near side; then the connection ends
    };
    Relay(TimerQueue&, std::string at, const std::string& to);
    ~Relay();
    Relay(const Relay&) = delete;
    Relay& operator=(const Relay&) = delete;

    void set(const Fault&);  // for established and new connections
    void heal() { set({}); }
    void reset_all();  // RST to both sides of all connections
    void at(TimePoint when, Fault);
    size_t connections() const { return links_.size(); }
    uint64_t bytes_passed() const { return passed_; }

   private:
    struct Way {                                             // one direction
        std::deque<std::pair<TimePoint, std::string>> held;  // each with the time from which it may be sent
        size_t bytes = 0;
        TimePoint free_from;  // when the throttle permits the next send
        bool ended = false, told_end = false;
    };
    struct Link {
        uint64_t id = 0;
        Fd near, far;
        ev_io near_io{}, far_io{};
        Way to_far, to_near;
        bool connecting = true, waits = false;
        Relay* relay = nullptr;
    };
    void taken(Fd);
    void ready(Link&, bool near_side, int events);
    void read_from(Link&, bool near_side);
    void pump(Link&);
    bool pump_way(Link&, Way&, Fd& to, bool to_near);
    void watch(Link&);
    void end(uint64_t id, bool reset);
    Link* find(uint64_t);

    TimerQueue& timers_;
    Address to_;
    Fault fault_;
    std::list<std::unique_ptr<Link>> links_;
    uint64_t last_ = 0, passed_ = 0;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
    Acceptor acceptor_;
};

}  // namespace headrouter::testbed
