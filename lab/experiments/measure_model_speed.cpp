#include <cinttypes>
#include <cstdio>
#include <sstream>
#include <string>
#include <vector>

#include "experiments/experiment.h"
#include "experiments/measure_definitions.h"
#include "experiments/measure_support.h"
#include "simulation/simulation.h"

namespace headrouter::experiments {
using namespace scenario;

int model_speed(const Measuring& m) {
    struct Size {
        int balancers, servers;
        double seconds;
    };
    std::vector<Size> sizes{{4, 16, 60}, {50, 20, 60}, {300, 90, 60}, {1000, 300, 60}};
    if (m.quick) sizes = {{4, 16, 30}, {50, 20, 30}, {300, 90, 30}, {1000, 300, 15}};
    std::printf("%-12s %8s %8s %14s %14s %10s  %s\n", "size", "threads", "wall s", "simulated/s", "events/s",
                "service", "digest");
    std::ostringstream json;
    bool same = true;
    double goal = 0;
    for (const Size& s : sizes) {
        Scenario w = read_world(
            "length = \"" + std::to_string(s.seconds) + "s\"\njudged_from = \"10s\"\n[fleet]\nservers = " +
            std::to_string(s.servers) + "\nbalancers = " + std::to_string(s.balancers) + mixed_fleet +
            "[traffic]\nuse = 0.5\ngroups = 300\n[[trouble]]\nkind = \"crash\"\nat = \"12s\"\nlasts = "
            "\"5s\"\npart = 0.2\n");
        uint64_t digest = 0;
        for (const int threads : {1, 8}) {
            const Outcome o = simulation::run(w, {}, 1, threads, m.stop);
            if (o.partial) return not_judged;
            const double speed = s.seconds / o.wall_seconds;
            same = same && (threads == 1 || digest == o.digest);
            digest = o.digest;
            if (s.balancers == 300 && threads == 1) goal = speed;
            std::printf("%4dx%-7d %8d %8.2f %14.1f %14.0f %10.4f  %016" PRIx64 "\n", s.balancers, s.servers,
                        threads, o.wall_seconds, speed, static_cast<double>(o.events) / o.wall_seconds,
                        o.service(), o.digest);
            json << ",\"x" << s.balancers << "x" << s.servers << "_t" << threads << "\":" << speed;
        }
    }
    const bool ok = same && goal > 1;
    std::printf("machine: %s. Goal: 300x90 faster than real time on one thread, the same digest at both.\n",
                machine().c_str());
    std::printf("{\"measure\":\"model-speed\",\"ok\":%s,\"quick\":%s,\"same_digest\":%s%s}\n",
                ok ? "true" : "false", m.quick ? "true" : "false", same ? "true" : "false",
                json.str().c_str());
    return ok ? 0 : claim_failed;
}

}  // namespace headrouter::experiments
