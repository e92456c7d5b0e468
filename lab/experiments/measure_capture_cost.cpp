#include <cstdio>
#include <filesystem>
#include <fstream>
#include <string>
#include <vector>

#include "experiments/experiment.h"
#include "experiments/measure_definitions.h"
#include "experiments/measure_support.h"
#include "experiments/sockets_run.h"
#include "experiments/statistics.h"

namespace headrouter::experiments {
using namespace scenario;

// A busy balancer pair with recording off, on, and on with the folder gone.
int capture_cost(const Measuring& m) {
    const Scenario w = read_world("length = \"" + std::string(m.quick ? "12s" : "20s") + R"("
judged_from = "4s"
[fleet]
servers = 6
balancers = 2
[traffic]
use = 0.4
ramp = "3s"
groups = 40
[[traffic.type]]
load = 20
hold = "3s"
message_every = "500ms"
message_target = "100ms"
)",
                                  "capture-cost");
    const int rounds = m.quick ? 1 : 4;
    const char* names[] = {"off", "on", "on, folder gone"};
    std::vector<double> cpu[3], p50[3], p99[3];
    double bytes = 0, requests = 0;
    std::string unjudged;
    for (int round = 0; round < rounds; ++round)
        for (int k = 0; k < 3; ++k) {
            if (m.stop && m.stop->load()) return not_judged;
            const TempFolder folder;
            const std::string kept = folder.path() + (k == 2 ? "/gone" : "/kept");
            if (k == 1) std::filesystem::create_directory(kept);
            Extras extras;
            extras.operator_file = folder.path() + "/operator.toml";
            std::ofstream(extras.operator_file)
                << (k ? "[capture]\non = true\nfolder = \"" + kept + "\"\n" : "");
            double seconds_used = 0;
            extras.cpu_seconds = &seconds_used;
            const Outcome o =
                run_on_sockets(w, names[k], static_cast<uint64_t>(round) + 1, m.program, m.stop, extras);
            if (!o.not_judged.empty()) unjudged = o.not_judged;
            if (o.rules_broken() > 0) unjudged = "a rule broken: " + o.examples.front();
            cpu[k].push_back(seconds_used / static_cast<double>(o.requests) * 1e6);
            p50[k].push_back(to_seconds(o.delay_median[0]) * 1000);
            p99[k].push_back(to_seconds(o.delay_99[0]) * 1000);
            if (k != 1) continue;
            requests += static_cast<double>(o.requests);
            for (const auto& e : std::filesystem::directory_iterator(kept))
                bytes += static_cast<double>(e.file_size());
        }
    std::printf("%-18s %16s %14s %14s\n", "recording", "CPU us a call", "delay p50 ms", "delay p99 ms");
    for (int k = 0; k < 3; ++k)
        std::printf("%-18s %16.1f %14.2f %14.2f\n", names[k], mean_of(cpu[k]).value, mean_of(p50[k]).value,
                    mean_of(p99[k]).value);
    const double more = mean_of(cpu[1]).value / mean_of(cpu[0]).value - 1;
    const double later = mean_of(p99[1]).value - mean_of(p99[0]).value;
    const Mean apart = paired_difference(cpu[1], cpu[0]);
    // Delays are counted in steps of a fifth; one step is the noise.
    const bool ok = unjudged.empty() && more < 0.03 && later <= 0.2 * mean_of(p99[0]).value + 0.01;
    if (!unjudged.empty()) std::printf("not judged: %s\n", unjudged.c_str());
    std::printf(
        "machine: %s, 2 balancers x 6 servers, %.0f calls a run, %d round(s). CPU: the whole balancer, "
        "messages "
        "included; %+.1f us a call (+-%.1f).\n",
        machine().c_str(), requests / rounds, rounds, apart.value, apart.half);
    std::printf(
        "{\"measure\":\"capture-cost\",\"ok\":%s,\"quick\":%s,\"cpu_more\":%.4f,\"p99_later_ms\":%.3f,"
        "\"bytes_a_call\":%.1f,\"cpu_us_off\":%.1f,\"cpu_us_on\":%.1f,\"cpu_us_gone\":%.1f}\n",
        ok ? "true" : "false", m.quick ? "true" : "false", more, later, bytes / std::max(1.0, requests),
        mean_of(cpu[0]).value, mean_of(cpu[1]).value, mean_of(cpu[2]).value);
    return ok ? 0 : unjudged.empty() ? claim_failed : not_judged;
}

}  // namespace headrouter::experiments
