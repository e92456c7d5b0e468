#include "experiments/measure_operations.h"

#include <sched.h>

#include <algorithm>
#include <cinttypes>
#include <cstdio>
#include <deque>
#include <filesystem>
#include <functional>
#include <list>
#include <map>

#include "experiments/child.h"
#include "experiments/measure_support.h"
#include "experiments/statistics.h"
#include "testbed/address_block.h"
#include "transport/clock.h"
#include "transport/line_connection.h"

namespace headrouter::experiments {

namespace {

// A connection of the measurement's own: what came is told a line at a time, its end once.
struct Conn : LineConnection::Owner {
    std::unique_ptr<LineConnection> line;
    std::function<void(Conn&, std::string_view)> heard;
    std::function<void(Conn&, CloseReason)> ended;
    TimePoint since = Clock::now();
    bool over = false;
    int steps = 0;

    Conn(struct ev_loop* loop, Fd fd, bool connecting, std::string_view first) {
        line = std::make_unique<LineConnection>(loop, std::move(fd), *this, 0);
        connecting ? line->start_connecting() : line->start();
        if (!first.empty()) line->send(first);
    }
    void on_bytes(LineConnection&, std::string_view text, bool) override {
        if (heard) heard(*this, text);
    }
    void on_closed(LineConnection&, CloseReason how) override {
        over = true;
        if (ended) ended(*this, how);
    }
};

// One server that keeps and echoes whatever comes, clients, and a process that balances them.
struct Bench {
    struct ev_loop* loop = ev_loop_new(0);
    testbed::AddressBlock block{1};
    std::string host = block.host(0), listen = host + ":8080", server_at = host + ":8081";
    TempFolder folder;
    Fd server;
    std::list<Conn> at_server, clients;
    ev_io accept{};
    std::vector<double> answer_ms;
    int asked = 0, ops_port = 10000;

    Bench() {
        server = listen_on(*Address::from(server_at));
        ev_io_init(
            &accept, [](struct ev_loop*, ev_io* w, int) { static_cast<Bench*>(w->data)->accept_some(); },
            server.get(), EV_READ);
        accept.data = this;
        ev_io_start(loop, &accept);
    }
    Bench(const Bench&) = delete;
    Bench& operator=(const Bench&) = delete;
    ~Bench() {
        at_server.clear(), clients.clear();
        ev_io_stop(loop, &accept);
        ev_loop_destroy(loop);
    }
    void accept_some() {
        for (;;) {
            Fd fd(accept4(server.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
            if (!fd) return;
            disable_nagle(fd.get());
            Conn& c = at_server.emplace_back(loop, std::move(fd), false, "");
            c.heard = [](Conn& self, std::string_view text) {
                self.line->send(text.substr(0, 5) == "OPEN " ? "UP r\r\n" : text);
            };
        }
    }
    std::string config(const std::string& ops) const {
        return R"({"name":"n","listen":")" + listen + R"(","ops":")" + ops + R"(","discovery":")" + host +
               R"(:8500","seed":"1f","limits":{"sockets":1024,"memory_mb":192},"known":{"generation":1,"reset":true,
            "instances":[{"instanceId":"s","hostPort":")" +
               server_at + R"(","zone":"a","lifecycle":"SERVING"}]},"settings":{"discovery":"push",
            "failureDomains":["a"],"ceilings":{"maxLegs":2,"dialTimeoutNs":150000000},"invariants":{"coldNs":0},
            "trafficTypes":[{"name":"chat","effect":"pure","setupTargetNs":800000000,"guardTimeNs":3000000000}]}})";
    }
    Conn& client(std::string_view first) { return client(listen, first); }
    Conn& client(const std::string& at, std::string_view first) {
        return clients.emplace_back(loop, connect_to(*Address::from(at)), true, first);
    }
    void ask(const std::string& ops, const char* request) {
        ++asked;
        Conn& c = client(ops, std::string(request) + "\r\n");
        c.heard = [this](Conn& self, std::string_view text) {
            if (text == "done\r\n" || text == "end\r\n")
                answer_ms.push_back(to_seconds(Clock::now() - self.since) * 1000);
        };
    }
    void turn() const { ev_run(loop, EVRUN_NOWAIT); }
    void tidy() {
        for (std::list<Conn>* all : {&clients, &at_server})
            all->remove_if([](const Conn& c) { return c.over; });
    }
    // Until the process says that it takes clients.
    bool takes_clients(const std::string& ops, Duration patience) {
        const TimePoint until = Clock::now() + patience;
        bool yes = false;
        for (TimePoint next{}; !yes && Clock::now() < until;) {
            if (Clock::now() >= next) {
                Conn& c = client(ops, "STATUS\r\n");
                c.heard = [&yes](Conn&, std::string_view text) { yes = yes || text == "done\r\n"; };
                next = Clock::now() + millis(10);
            }
            turn(), usleep(200);
        }
        clients.remove_if([](const Conn& c) { return c.steps == 0; });  // the askers: `yes` goes
        return yes;
    }
};

void on_one_core(pid_t pid) {
    cpu_set_t one;
    CPU_ZERO(&one);
    CPU_SET(0, &one);
    sched_setaffinity(pid, sizeof one, &one);
}

std::string json(const char* measure, bool ok, bool quick) {
    return std::string(R"({"measure":")") + measure + R"(","ok":)" + (ok ? "true" : "false") +
           R"(,"quick":)" + (quick ? "true" : "false");
}

}  // namespace

int ops_answers(const Measuring& m) {
    testbed::raise_descriptors();
    Bench b;
    const std::string ops = b.host + ":10250";
    Child balancer(m.program, b.folder.path(), "n", "");
    balancer.start(b.config(ops));
    on_one_core(balancer.pid());
    if (!b.takes_clients(ops, seconds(5))) return std::printf("it does not start\n"), not_judged;
    const TimePoint begun = Clock::now(), end = begun + seconds(m.quick ? 5 : 20);
    uint64_t arrivals = 0, cut = 0;
    std::deque<Conn*> waiting;
    for (TimePoint next = begun; Clock::now() < end;) {
        if (m.stop && m.stop->load()) return not_judged;
        if (Clock::now() >= next) {
            b.ask(ops, b.asked % 2 ? "METRICS" : "STATUS");
            if (b.asked % 10 == 0) b.client(ops, "METR");  // who stays and holds a place
            next = next + millis(25);
        }
        // As many as it takes in and cuts again: its core has no rest.
        for (int k = 0; k < 40; ++k) {
            Conn& c = b.client(k % 4 ? "" : "OPEN 01");
            c.ended = [&cut](Conn&, CloseReason) { ++cut; };
            ++arrivals;
        }
        b.turn(), b.tidy();
        while (b.clients.size() > 3000) b.clients.front().line->abort(), b.clients.pop_front();
    }
    for (const TimePoint last = Clock::now() + seconds(1); Clock::now() < last;) b.turn(), usleep(200);
    balancer.kill();
    const double took = to_seconds(Clock::now() - begun), busy = balancer.cpu_seconds() / took;
    const double worst = b.answer_ms.empty() ? 0 : *std::max_element(b.answer_ms.begin(), b.answer_ms.end());
    const size_t answered = b.answer_ms.size();
    const bool ok = answered == static_cast<size_t>(b.asked) && worst < 1000 && busy > 0.8;
    std::printf("%" PRIu64
                " connections that never finish in %.0f s, %.0f%% of one core; %d calls, %zu answered\n",
                arrivals, took, busy * 100, b.asked, answered);
    std::printf("answers in ms: median %.1f, 99th percentile %.1f, latest %.1f\n", quantile(b.answer_ms, 0.5),
                quantile(b.answer_ms, 0.99), worst);
    std::printf(
        "%s,\"asked\":%d,\"answered\":%zu,\"p50_ms\":%.2f,\"p99_ms\":%.2f,\"max_ms\":%.2f,\"core\":%.2f}\n",
        json("ops-answers", ok, m.quick).c_str(), b.asked, answered, quantile(b.answer_ms, 0.5),
        quantile(b.answer_ms, 0.99), worst, busy);
    return ok ? 0 : busy > 0.8 ? claim_failed : not_judged;
}

namespace {

/// What was lost in the upgrades from one build to another.
struct UpgradeDirection {
    int upgrades = 0;
    int lost = 0;
    double worst_gap_ms = 0;
};

struct UpgradeResult {
    int upgrades = 0;
    int established = 0;
    int lost = 0;
    double worst_gap_ms = 0;
    int64_t connected = 0;
    int64_t unheard = 0;
    std::vector<double> leaving_ms;
    UpgradeDirection from_other;
    UpgradeDirection to_other;
    bool ok = false;
};

void print_direction(const char* name, const UpgradeDirection& direction) {
    std::printf("%s: %d upgrades, %d lost or moved, longest wait for a line %.1f ms\n", name,
                direction.upgrades, direction.lost, direction.worst_gap_ms);
}

void print_upgrade(const Measuring& m, const UpgradeResult& result) {
    std::printf("%d upgrades, %d connections standing: %d lost or moved, longest wait for a line %.1f ms\n",
                result.upgrades, result.established, result.lost, result.worst_gap_ms);
    if (!m.other.empty()) {
        print_direction("from the other build to this one", result.from_other);
        print_direction("from this build to the other one", result.to_other);
    }
    std::printf("%" PRId64 " connected meanwhile, %" PRId64
                " unheard; old process gone after %.0f ms (median), %.0f (latest)\n",
                result.connected, result.unheard, quantile(result.leaving_ms, 0.5),
                quantile(result.leaving_ms, 1));
    std::printf("%s,\"upgrades\":%d,\"standing\":%d,\"lost\":%d,\"worst_gap_ms\":%.2f,\"connected\":%" PRId64
                ",\"unheard\":%" PRId64 ",\"gone_ms\":%.1f}\n",
                json("upgrade", result.ok, m.quick).c_str(), result.upgrades, result.established, result.lost,
                result.worst_gap_ms, result.connected, result.unheard, quantile(result.leaving_ms, 0.5));
}

}  // namespace

int upgrade(const Measuring& m) {
    testbed::raise_descriptors();
    Bench b;
    const int rounds = m.quick ? 3 : 20, stand = 200;
    const auto ops = [&](int round) { return b.host + ":" + std::to_string(10300 + round); };
    std::deque<std::unique_ptr<Child>> lives;
    // With another build, every second process is of it: each build takes over from the other in turn.
    const auto launch = [&](int round) {
        const bool is_other = !m.other.empty() && round % 2 == 0;
        const std::string& program = is_other ? m.other : m.program;
        lives.push_back(std::make_unique<Child>(program, b.folder.path(), "n" + std::to_string(round), ""));
        lives.back()->start(b.config(ops(round)));
    };
    const auto start = [&](int round) {
        launch(round);
        return b.takes_clients(ops(round), seconds(5));
    };
    if (!start(0)) return std::printf("it does not start\n"), not_judged;

    // Each of those that stand says the next word when the last one has come back.
    double worst_gap_ms = 0;
    int up = 0, lost = 0;
    std::list<Conn> standing;
    for (int k = 0; k < stand; ++k) {
        char line[80];
        std::snprintf(line, sizeof line, "OPEN %016x 2b c=chat,d=2900\r\n", k + 1);
        Conn& c = standing.emplace_back(b.loop, connect_to(*Address::from(b.listen)), true, line);
        c.heard = [&](Conn& self, std::string_view text) {
            if (text == "UP r\r\n") ++up;
            const double gap = to_seconds(Clock::now() - self.since) * 1000;
            if (self.steps++ > 0) worst_gap_ms = std::max(worst_gap_ms, gap);
            self.since = Clock::now();
            self.line->send("word\r\n");
        };
        c.ended = [&](Conn&, CloseReason) { ++lost; };
    }
    for (const TimePoint until = Clock::now() + seconds(3); up < stand && Clock::now() < until;) b.turn();
    if (up < stand) return std::printf("%d of %d came up\n", up, stand), not_judged;
    worst_gap_ms = 0;

    UpgradeDirection from_other;
    UpgradeDirection to_other;
    int64_t heard = 0, unheard = 0, came = 0;
    std::vector<double> leaving_ms;
    bool fine = true;
    const auto come = [&] {
        Conn& c = b.client("PING\r\n");
        c.steps = 1;
        ++came;
        c.heard = [&](Conn& self, std::string_view) { ++heard, self.over = true; };
        c.ended = [&](Conn&, CloseReason) { ++unheard; };
    };
    for (int round = 1; fine && round <= rounds; ++round) {
        if (m.stop && m.stop->load()) return not_judged;
        const TimePoint until = Clock::now() + millis(300);
        const int lost_before = lost;
        const double gap_before = std::exchange(worst_gap_ms, 0);
        launch(round);
        while (Clock::now() < until) come(), b.turn(), b.tidy(), usleep(300);
        fine = b.takes_clients(ops(round), seconds(5));
        const TimePoint told = Clock::now();
        lives.front()->ask_to_leave();
        while (lives.front()->runs() && Clock::now() - told < seconds(4))
            b.turn(), lives.front()->ends_within(millis(1));
        fine = fine && !lives.front()->runs();
        leaving_ms.push_back(to_seconds(Clock::now() - told) * 1000);
        lives.pop_front();
        UpgradeDirection& direction = round % 2 == 0 ? to_other : from_other;
        ++direction.upgrades;
        direction.lost += lost - lost_before;
        direction.worst_gap_ms = std::max(direction.worst_gap_ms, worst_gap_ms);
        worst_gap_ms = std::max(worst_gap_ms, gap_before);
    }
    for (const TimePoint last = Clock::now() + millis(500); Clock::now() < last;)
        b.turn(), b.tidy(), usleep(300);
    standing.clear();
    unheard += came - heard - unheard;
    const bool ok = fine && unheard == 0 && lost == 0 && worst_gap_ms < 1000;
    print_upgrade(m,
                  {rounds, stand, lost, worst_gap_ms, came, unheard, leaving_ms, from_other, to_other, ok});
    return ok ? 0 : claim_failed;
}

}  // namespace headrouter::experiments
