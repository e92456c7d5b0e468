#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <functional>
#include <map>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

#include "base/parse_error.h"
#include "experiments/experiment.h"
#include "experiments/fleet_run.h"
#include "experiments/measure_definitions.h"
#include "experiments/measure_support.h"
#include "experiments/sockets_run.h"
#include "experiments/statistics.h"
#include "simulation/simulation.h"

namespace headrouter::experiments {
using namespace scenario;

namespace {

constexpr const char* fit_traffic = R"(
[traffic]
use = 0.45
ramp = "3s"
groups = 40
retries = 4
[[traffic.type]]
name = "watch"
share = 0.6
load = 60
hold = "15s"
setup_target = "800ms"
guard_time = "2500ms"
message_target = "120ms"
message_every = "700ms"
[[traffic.type]]
name = "match"
share = 0.4
load = 90
hold = "10s"
revenue = 2
setup_target = "500ms"
guard_time = "2s"
message_target = "80ms"
message_every = "500ms"
)";

std::vector<std::pair<std::string, std::string>> fit_cases() {
    const auto incident = [](const std::string& kind, const char* more) {
        return "[[trouble]]\nkind = \"" + kind + "\"\nat = \"9s\"\n" + more + "\n";
    };
    return {{"calm", ""},
            {"crash", incident("crash", "lasts = \"5s\"\npart = 0.34")},
            {"hang", incident("hang", "lasts = \"6s\"\npart = 0.2")},
            {"slow", incident("slow", "lasts = \"8s\"\npart = 0.34\nsize = 0.25")},
            {"deploy", incident("deploy", "lasts = \"10s\"\npart = 0.5")},
            {"messages+drop+kill",
             "[[fault]]\nkind = \"drop\"\nat = \"6s\"\nlasts = \"6s\"\nsize = 0.4\npart = 1\n"
             "[[fault]]\nkind = \"kill\"\nat = \"9s\"\nlasts = \"1s\"\npart = 0.34\n"},
            {"reconnect+errors", incident("reconnect", "part = 0.7") +
                                     incident("errors", "lasts = \"6s\"\npart = 0.34\nsize = 0.6")}};
}

bool speaks(const std::string& incidents) { return incidents.find("[[fault]]") != std::string::npos; }

// Each run on sockets in a process of its own, several side by side; its outcome comes back over a pipe.
struct Away {
    pid_t pid;
    int from;
};

Away send_away(const std::function<double(std::string&)>& run) {
    int ends[2];
    if (pipe(ends) != 0) throw ParseError("no pipe for a run");
    const pid_t pid = fork();
    if (pid < 0) throw ParseError("no process for a run");
    if (pid == 0) {
        close(ends[0]);
        std::string fault, text;
        try {
            text = std::to_string(run(fault));
        } catch (const std::exception& e) {
            fault = e.what();
        }
        text += "\n" + fault;
        if (write(ends[1], text.data(), text.size()) < 0) _exit(1);
        _exit(0);
    }
    close(ends[1]);
    return {pid, ends[0]};
}

std::pair<double, std::string> bring_back(const Away& a) {
    std::string text;
    char bytes[4096];
    for (ssize_t n = 0; (n = read(a.from, bytes, sizeof bytes)) > 0;)
        text.append(bytes, static_cast<size_t>(n));
    close(a.from);
    const size_t line = text.find('\n');
    if (line == std::string::npos || line == 0)
        return {0, text.empty() ? "the run ended early" : text.substr(1)};
    return {std::atof(text.c_str()), text.substr(line + 1)};
}

}  // namespace

int model_fit(const Measuring& m) {
    const int seeds = m.quick ? 1 : 4;
    std::printf("%-18s %10s %10s %10s   %s\n", "experiment", "model", "sockets", "apart", "");
    double worst = 0;
    std::string worst_name, unjudged;
    std::ostringstream json;
    std::map<std::string, std::vector<double>> on_model, on_sockets;
    std::map<std::string, Scenario> worlds;
    for (const auto& [name, incidents] : fit_cases())
        worlds[name] =
            read_world("length = \"25s\"\njudged_from = \"5s\"\n[fleet]\nservers = 6\nbalancers = " +
                           std::string(speaks(incidents) ? "3\nmessages = true\n" : "2\n") +
                           std::string(mixed_fleet) + fit_traffic + incidents,
                       name);
    for (int seed = 1; seed <= seeds; ++seed) {
        // Two or three side by side: each has two balancers and a lab that must not run late.
        std::vector<std::pair<std::string, Away>> away;
        const auto collect = [&] {
            for (const auto& [name, a] : away) {
                const auto [service, fault] = bring_back(a);
                if (!fault.empty())
                    unjudged += name + ": " + fault + "; ";
                else
                    on_sockets[name].push_back(service);
            }
            away.clear();
        };
        for (const auto& [name, incidents] : fit_cases()) {
            if (m.stop && m.stop->load()) return not_judged;
            const Scenario& w = worlds[name];
            on_model[name].push_back(simulation::run(w, {}, static_cast<uint64_t>(seed), 1).service());
            away.emplace_back(name, send_away([&](std::string& fault) {
                                  FleetRunOptions options;
                                  options.program = m.program;
                                  const auto s = static_cast<uint64_t>(seed);
                                  const Outcome o = w.messages
                                                        ? run_process_fleet(w, "brain", s, options)
                                                        : run_on_sockets(w, "brain", s, m.program, nullptr);
                                  fault = o.not_judged;
                                  if (fault.empty() && o.rules_broken() > 0)
                                      fault = "a rule broken: " + o.examples.front();
                                  return o.service();
                              }));
            if (away.size() == 3 && !m.quick) collect();
        }
        collect();
    }
    for (const auto& [name, incidents] : fit_cases()) {
        const Mean a = mean_of(on_model[name]), b = mean_of(on_sockets[name]);
        const double apart = b.value - a.value;
        if (worst_name.empty() || std::abs(apart) > std::abs(worst)) worst = apart, worst_name = name;
        std::printf("%-18s %10.4f %10.4f %+10.4f\n", name.c_str(), a.value, b.value, apart);
        json << ",\"" << name << "\":" << apart;
    }
    if (!unjudged.empty()) std::printf("not judged: %s\n", unjudged.c_str());
    const bool ok = unjudged.empty() && std::abs(worst) <= 0.03;
    std::printf("machine: %s, 2 balancers x 6 servers, 25 s, %d seed(s). Worst: %s.\n", machine().c_str(),
                seeds, worst_name.c_str());
    std::printf(
        "{\"measure\":\"model-fit\",\"ok\":%s,\"quick\":%s,\"worst\":\"%s\",\"worst_apart\":%.4f%s}\n",
        ok ? "true" : "false", m.quick ? "true" : "false", worst_name.c_str(), worst, json.str().c_str());
    return ok ? 0 : unjudged.empty() ? claim_failed : not_judged;
}

}  // namespace headrouter::experiments
