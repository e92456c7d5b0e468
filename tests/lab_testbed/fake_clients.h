// Helpers for the tests of the fakes: an event loop that waits for conditions, and peers that a test drives.
#pragma once
#include <sys/socket.h>
#include <unistd.h>

#include <functional>

#include "policy_helpers.h"
#include "testbed/test_bed.h"
#include "transport/clock.h"

namespace headrouter::testbed {

struct Loop {
    struct ev_loop* loop = ev_loop_new(0);
    Loop() = default;
    ~Loop() { ev_loop_destroy(loop); }
    Loop(const Loop&) = delete;
    Loop& operator=(const Loop&) = delete;
    // Runs the loop until the condition holds; returns false after ten seconds, so that a condition that
    // never holds fails the test instead of hanging it.
    bool until(const std::function<bool()>& holds) const {
        const TimePoint end = Clock::now() + seconds(10);
        bool held = holds();
        for (; !held && Clock::now() < end; held = holds()) ev_run(loop, EVRUN_NOWAIT), usleep(300);
        return held;
    }
    void turn(Duration span) const {
        const TimePoint end = Clock::now() + span;
        while (Clock::now() < end) ev_run(loop, EVRUN_NOWAIT), usleep(300);
    }
};

struct Peer {
    Fd fd;
    std::string got;
    bool ended = false, broke = false;
    explicit Peer(Fd f) : fd(std::move(f)) {}
    explicit Peer(const std::string& at) : fd(connect_to(*Address::from(at))) {}
    void read() {
        char bytes[65536];
        while (fd && !ended && !broke) {
            const ssize_t n = recv(fd.get(), bytes, sizeof bytes, MSG_DONTWAIT);
            if (n > 0) {
                got.append(bytes, static_cast<size_t>(n));
                continue;
            }
            if (n < 0 && errno == EAGAIN) return;
            (n == 0 ? ended : broke) = true;
        }
    }
    bool over() { return read(), ended || broke; }
    bool has(const std::string& text) { return read(), got.find(text) != std::string::npos; }
    void write(const std::string& text) const {
        EXPECT_GT(::send(fd.get(), text.data(), text.size(), MSG_NOSIGNAL), 0);
    }
};

inline scenario::Scenario small_world(int servers = 3) {
    scenario::Scenario w;
    w.servers = servers;
    w.balancers = 1;
    w.zones = 1;
    w.length = seconds(20);
    w.kinds[0].cores = 1;
    w.setup_work = millis(1);
    return w;
}

}  // namespace headrouter::testbed
