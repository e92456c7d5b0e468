#include "experiments/sockets_run.h"

#include <unistd.h>

#include <chrono>
#include <csignal>
#include <stdexcept>
#include <thread>

#include "experiments/child.h"
#include "experiments/run_folder.h"
#include "testbed/test_bed.h"
#include "transport/clock.h"

namespace headrouter::experiments {
using namespace scenario;

namespace {

constexpr Duration start_patience = seconds(10), end_patience = seconds(4), settling = millis(300);

}  // namespace

int descriptors_needed(const Scenario& w) {
    double share = 0, load = 0, hold = 0;
    for (const RequestClassSpec& t : w.traffic.types) {
        share += t.share;
        hold += t.share * to_seconds(t.hold);
        load += t.share * t.load * 1000 * to_seconds(t.hold);
    }
    const double standing = w.traffic.use * capacity_of(w) * hold / load;
    return static_cast<int>(standing * 3) + w.servers * 8 + w.balancers * 8 +
           200;  // with what comes back at once
}

Outcome run_on_sockets(const Scenario& w, const std::string& arm, uint64_t seed, const std::string& program,
                       const std::atomic<bool>* stop, const Extras& extras) {
    const auto began = std::chrono::steady_clock::now();
    Outcome out;
    out.arm = arm;
    out.on = "sockets";
    out.seed = seed;
    const auto ended = [&]() -> Outcome& {
        out.wall_seconds = std::chrono::duration<double>(std::chrono::steady_clock::now() - began).count();
        return out;
    };
    if (const int has = testbed::raise_descriptors(); has < descriptors_needed(w)) {
        out.partial = true;
        out.rules.resize(static_cast<size_t>(Rule::how_many));
        out.not_judged = "the lab needs " + std::to_string(descriptors_needed(w)) + " descriptors and has " +
                         std::to_string(has);
        return ended();
    }
    if (!w.faults.empty() || w.messages)
        throw std::runtime_error("faults of processes and messages are played by `crowd`");
    std::signal(SIGPIPE, SIG_IGN);
    if (access(program.c_str(), X_OK) != 0) throw std::runtime_error("'" + program + "' cannot be run");
    const RunFolder folder(extras.log_folder);
    struct ev_loop* loop = ev_loop_new(EVFLAG_AUTO);
    {
        testbed::TestBed bed(loop, w, seed, out);
        std::vector<std::unique_ptr<Child>> children;
        for (int b = 0; b < w.balancers; ++b) {
            children.push_back(
                std::make_unique<Child>(program, folder.path, bed.seat(b).name, extras.operator_file));
            children[b]->start(bed.fresh_config(b));
        }
        const auto turn = [&] { ev_run(loop, EVRUN_ONCE); };
        ev_timer beat;  // the loop comes back at least so often, to see what is not an event of its own
        ev_timer_init(
            &beat, [](struct ev_loop*, ev_timer*, int) {}, 0.02, 0.02);
        ev_timer_start(loop, &beat);
        const auto stopped = [&] { return stop && stop->load(); };
        const TimePoint give_up = Clock::now() + start_patience;
        for (int b = 0; b < w.balancers && !stopped(); ++b)
            while (!bed.ready(b) && !stopped()) {
                turn();
                if (children[b]->crashed())
                    throw std::runtime_error("a balancer ended: " + last_lines(children[b]->log(), 1));
                if (Clock::now() > give_up) throw std::runtime_error("a balancer is not ready after 10 s");
            }
        bed.begin(
            {[&](int b) { children[b]->start(bed.fresh_config(b)); }, [&](int b) { children[b]->kill(); }});
        std::string crash;
        size_t told = 0;
        while (!bed.finished() && !stopped()) {
            turn();
            for (; extras.each && told + 1 < out.asked_each.size(); ++told)
                extras.each(told, out, bed.clients().up());
            for (auto& child : children)
                if (child->crashed()) crash = "a balancer ended by itself: " + last_lines(child->log(), 1);
        }
        out.partial = stopped() && !bed.finished();
        bed.clients().stop();
        const TimePoint settled = Clock::now() + settling;  // what is on its way gets there
        while (Clock::now() < settled) turn();
        bed.finish();
        if (!crash.empty()) {
            out.examples.push_back(crash);
            ++out.rules[static_cast<size_t>(Rule::request_lost)];
        }
        for (auto& child : children) child->ask_to_leave();
        const TimePoint last = Clock::now() + end_patience;
        for (auto& child : children)
            while (child->runs() && !child->crashed() && Clock::now() < last) turn();
        for (auto& child : children) {
            child->kill();
            if (extras.cpu_seconds) *extras.cpu_seconds += child->cpu_seconds();
        }
        ev_timer_stop(loop, &beat);
    }
    ev_loop_destroy(loop);
    return ended();
}

}  // namespace headrouter::experiments
