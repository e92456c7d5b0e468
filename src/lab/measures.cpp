#include "lab/measures.h"

#include <unistd.h>

#include <chrono>
#include <cinttypes>
#include <cstdio>
#include <iostream>
#include <map>
#include <set>
#include <sstream>
#include <thread>

#include "lab/experiment.h"
#include "lab/runner.h"
#include "lab/sockets_run.h"
#include "lab/statistics.h"
#include "model/crew.h"
#include "wire/malformed.h"

namespace headrouter::lab {
using namespace fleet;

namespace {

constexpr int failed = 1, not_judged = 3;

std::string machine() { return std::to_string(std::thread::hardware_concurrency()) + " cores"; }

// Six servers of two kinds, with weights that say only roughly what they can do.
constexpr const char* mixed_fleet = R"(
[[fleet.kind]]
name = "large"
share = 0.4
cores = 4
weight = 1.2
cold_from = 0.35
cold_time = "8s"
[[fleet.kind]]
name = "small"
share = 0.6
cores = 3
speed = 0.8
weight = 0.8
cold_from = 0.35
cold_time = "8s"
)";

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
        World w = read_world(
            "length = \"" + std::to_string(s.seconds) + "s\"\njudged_from = \"10s\"\n[fleet]\nservers = " +
            std::to_string(s.servers) + "\nbalancers = " + std::to_string(s.balancers) + mixed_fleet +
            "[traffic]\nuse = 0.5\ngroups = 300\n[[trouble]]\nkind = \"crash\"\nat = \"12s\"\nlasts = "
            "\"5s\"\npart = 0.2\n");
        uint64_t digest = 0;
        for (const int threads : {1, 8}) {
            const Outcome o = model::run(w, {}, 1, threads, m.stop);
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
    return ok ? 0 : failed;
}

// ---- model-fit ----

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
    const auto trouble = [](const std::string& kind, const char* more) {
        return "[[trouble]]\nkind = \"" + kind + "\"\nat = \"9s\"\n" + more + "\n";
    };
    return {{"calm", ""},
            {"crash", trouble("crash", "lasts = \"5s\"\npart = 0.34")},
            {"hang", trouble("hang", "lasts = \"6s\"\npart = 0.2")},
            {"slow", trouble("slow", "lasts = \"8s\"\npart = 0.34\nsize = 0.25")},
            {"deploy", trouble("deploy", "lasts = \"10s\"\npart = 0.5")},
            {"reconnect+errors", trouble("reconnect", "part = 0.7") +
                                     trouble("errors", "lasts = \"6s\"\npart = 0.34\nsize = 0.6")}};
}

// Each run on sockets in a process of its own, several side by side; its outcome comes back over a pipe.
struct Away {
    pid_t pid;
    int from;
};

Away send_away(const std::function<double(std::string&)>& run) {
    int ends[2];
    if (pipe(ends) != 0) throw Malformed("no pipe for a run");
    const pid_t pid = fork();
    if (pid < 0) throw Malformed("no process for a run");
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
    for (ssize_t n; (n = read(a.from, bytes, sizeof bytes)) > 0;) text.append(bytes, static_cast<size_t>(n));
    close(a.from);
    const size_t line = text.find('\n');
    if (line == std::string::npos || line == 0)
        return {0, text.empty() ? "the run ended early" : text.substr(1)};
    return {std::atof(text.c_str()), text.substr(line + 1)};
}

int model_fit(const Measuring& m) {
    const int seeds = m.quick ? 1 : 4;
    std::printf("%-18s %10s %10s %10s   %s\n", "experiment", "model", "sockets", "apart", "");
    double worst = 0;
    std::string worst_name, unjudged;
    std::ostringstream json;
    std::map<std::string, std::vector<double>> on_model, on_sockets;
    std::map<std::string, World> worlds;
    for (const auto& [name, troubles] : fit_cases())
        worlds[name] =
            read_world("length = \"25s\"\njudged_from = \"5s\"\n[fleet]\nservers = 6\nbalancers = 2\n" +
                           std::string(mixed_fleet) + fit_traffic + troubles,
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
        for (const auto& [name, troubles] : fit_cases()) {
            if (m.stop && m.stop->load()) return not_judged;
            const World& w = worlds[name];
            on_model[name].push_back(model::run(w, {}, static_cast<uint64_t>(seed), 1).service());
            away.emplace_back(name, send_away([&](std::string& fault) {
                                  const Outcome o = run_on_sockets(w, "brain", static_cast<uint64_t>(seed),
                                                                   m.program, nullptr);
                                  fault = o.not_judged;
                                  if (fault.empty() && o.rules_broken() > 0)
                                      fault = "a rule broken: " + o.examples.front();
                                  return o.service();
                              }));
            if (away.size() == 3 && !m.quick) collect();
        }
        collect();
    }
    for (const auto& [name, troubles] : fit_cases()) {
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
    return ok ? 0 : unjudged.empty() ? failed : not_judged;
}

// ---- baselines ----

int baselines(const Measuring& m) {
    const std::vector<std::pair<std::string, std::string>> alone{
        {"crash", "lasts = \"6s\"\npart = 0.3"},
        {"hang", "lasts = \"8s\"\npart = 0.2"},
        {"slow", "lasts = \"12s\"\npart = 0.3\nsize = 0.3"},
        {"burst", "lasts = \"10s\"\nsize = 6"},
        {"deploy", "lasts = \"20s\"\npart = 0.6"},
        {"reconnect", "part = 0.7"},
        {"list_outage", "lasts = \"20s\""}};
    std::vector<std::pair<std::string, std::string>> cases;
    const auto trouble = [](const auto& t, const char* at) {
        return "[[trouble]]\nkind = \"" + t.first + "\"\nat = \"" + at + "\"\n" + t.second + "\n";
    };
    for (size_t a = 0; a < alone.size(); ++a) {
        cases.emplace_back(alone[a].first, trouble(alone[a], "20s"));
        for (size_t b = a + 1; b < alone.size(); ++b)
            cases.emplace_back(alone[a].first + "+" + alone[b].first,
                               trouble(alone[a], "20s") + trouble(alone[b], "22s"));
    }
    std::string arms;
    for (const char* name : {"brain", "random", "least_connections", "two_choices", "rendezvous"})
        arms += std::string("[[arm]]\npolicy = \"") + name + "\"\n";
    std::printf("%-24s %8s %8s %8s %8s %8s  %-18s %18s  %s\n", "trouble", "brain", "random", "least", "two",
                "rendezv", "best baseline", "brain beside it", "rules broken (brain, then the others)");
    const int seeds = m.quick ? 3 : 10;
    uint64_t own_broken = 0, others_broken = 0;
    int behind = 0, ahead = 0;
    double least_apart = 1, sum_apart = 0;
    std::string where_behind, worst;
    for (const auto& [name, troubles] : cases) {
        const Experiment e = read_experiment("name = \"" + name + "\"\nseeds = " + std::to_string(seeds) +
                                                 "\nlength = \"60s\"\njudged_from = \"10s\"\n" + arms +
                                                 "[fleet]\nservers = 16\nbalancers = 4\n" + mixed_fleet +
                                                 "[traffic]\nuse = 0.6\ngroups = 200\nreturn_after = "
                                                 "\"80ms\"\n[[traffic.type]]\nname = \"watch\"\nshare = 0.6\n"
                                                 "[[traffic.type]]\nname = \"match\"\nshare = 0.4\nload = "
                                                 "14\nrevenue = 2\nmessage_target = \"50ms\"\n" +
                                                 troubles,
                                             name);
        Playing how;
        how.threads = m.threads;
        how.stop = m.stop;
        const std::vector<Outcome> all = play(e, how);
        if (m.stop && m.stop->load()) return not_judged;
        std::map<std::string, std::vector<double>> service;
        std::map<std::string, uint64_t> broken;
        for (const Outcome& o : all) service[o.arm].push_back(o.service()), broken[o.arm] += o.rules_broken();
        std::string best;
        uint64_t others = 0;
        for (const auto& [arm, values] : service) {
            if (arm == "brain") continue;
            others += broken[arm];
            if (best.empty() || mean_of(values).value > mean_of(service[best]).value) best = arm;
        }
        const Mean apart = paired_difference(service["brain"], service[best]);
        const bool sure = std::abs(apart.value) > apart.half;
        const auto mean = [&](const char* arm) { return mean_of(service[arm]).value; };
        std::printf("%-24s %8.4f %8.4f %8.4f %8.4f %8.4f  %-18s %+8.4f +-%7.4f%s  %" PRIu64 ", %" PRIu64 "\n",
                    name.c_str(), mean("brain"), mean("random"), mean("least_connections"),
                    mean("two_choices"), mean("rendezvous"), best.c_str(), apart.value, apart.half,
                    sure ? " " : "?", broken["brain"], others);
        std::fflush(stdout);
        own_broken += broken["brain"];
        others_broken += others;
        sum_apart += apart.value;
        if (sure && apart.value < 0) ++behind, where_behind += (where_behind.empty() ? "" : ", ") + name;
        if (sure && apart.value > 0) ++ahead;
        if (apart.value < least_apart) least_apart = apart.value, worst = name;
    }
    const double mean_apart = sum_apart / static_cast<double>(cases.size());
    const bool ok = own_broken == 0 && mean_apart > 0;
    std::printf(
        "machine: %s, model of 4 balancers x 16 servers, 60 s, %d seeds. '?': the 95%% interval holds 0.\n",
        machine().c_str(), seeds);
    if (behind) std::printf("A baseline is better for sure at: %s\n", where_behind.c_str());
    std::printf(
        "{\"measure\":\"baselines\",\"ok\":%s,\"quick\":%s,\"cases\":%zu,\"ahead\":%d,\"behind\":%d,\"mean_"
        "apart\":%.4f,"
        "\"least_apart\":%.4f,\"least_at\":\"%s\",\"rules_broken\":%" PRIu64
        ",\"rules_broken_by_baselines\":%" PRIu64 "}\n",
        ok ? "true" : "false", m.quick ? "true" : "false", cases.size(), ahead, behind, mean_apart,
        least_apart, worst.c_str(), own_broken, others_broken);
    return ok ? 0 : failed;
}

}  // namespace

std::vector<std::string> measure_names() { return {"model-speed", "model-fit", "baselines"}; }

int measure(const std::string& name, const Measuring& m) {
    if (name == "model-speed") return model_speed(m);
    if (name == "model-fit") return model_fit(m);
    return baselines(m);
}

}  // namespace headrouter::lab
