#include "experiments/demo.h"

#include <cstdio>

#include "experiments/experiment.h"
#include "experiments/sockets_run.h"

namespace headrouter::experiments {
using namespace scenario;

int demo(const std::string& program, double seconds_long, const std::atomic<bool>* stop) {
    Scenario w = read_world(R"(
[fleet]
servers = 6
balancers = 2
[[fleet.kind]]
cold_from = 0.4
cold_time = "4s"
[traffic]
use = 0.4
groups = 30
ramp = "2s"
[[traffic.type]]
name = "chat"
load = 80
hold = "12s"
message_every = "600ms"
message_target = "120ms"
)");
    w.length = seconds(seconds_long);
    w.judged_from = w.length * 0.15;
    Incident crash;
    crash.at = TimePoint{} + w.length * 0.4;
    crash.lasts = w.length * 0.2;
    crash.part = 0.2;
    w.incidents.push_back(crash);
    std::printf("2 balancers, 6 stand-in servers, %.0f s; a server dies at %.0f s and is back at %.0f s.\n",
                seconds_long, seconds_long * 0.4, seconds_long * 0.6);
    std::fflush(stdout);
    Extras extras;
    extras.each = [](size_t second, const Outcome& now, size_t up) {
        const double asked = now.asked_each[second], served = now.served_each[second];
        std::printf("%3zu s  %4zu connections up, %3.0f%% well served  ", second, up,
                    asked > 0 ? 100 * served / asked : 100);
        if (!now.use_each.empty())
            for (const float use : now.use_each.back())
                std::printf(use < 0 ? "  down" : "  %3.0f%%", use * 100.0);
        std::printf("\n");
        std::fflush(stdout);
    };
    const Outcome o = run_on_sockets(w, "demo", 1, program, stop, extras);
    std::printf("%llu calls, %llu up, %llu moved, %llu turned away; rules broken: %llu\n",
                static_cast<unsigned long long>(o.requests), static_cast<unsigned long long>(o.up),
                static_cast<unsigned long long>(o.moved), static_cast<unsigned long long>(o.busy),
                static_cast<unsigned long long>(o.rules_broken()));
    for (const std::string& e : o.examples) std::printf("%s\n", e.c_str());
    if (!o.not_judged.empty()) std::printf("not judged: %s\n", o.not_judged.c_str());
    return o.rules_broken() > 0 ? 1 : 0;
}

}  // namespace headrouter::experiments
