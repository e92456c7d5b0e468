#include <cinttypes>
#include <cmath>
#include <cstdio>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "experiments/experiment.h"
#include "experiments/measure_definitions.h"
#include "experiments/measure_support.h"
#include "experiments/runner.h"
#include "experiments/statistics.h"

namespace headrouter::experiments {
using namespace scenario;

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
    const auto incident = [](const auto& t, const char* at) {
        return "[[trouble]]\nkind = \"" + t.first + "\"\nat = \"" + at + "\"\n" + t.second + "\n";
    };
    for (size_t a = 0; a < alone.size(); ++a) {
        cases.emplace_back(alone[a].first, incident(alone[a], "20s"));
        for (size_t b = a + 1; b < alone.size(); ++b)
            cases.emplace_back(alone[a].first + "+" + alone[b].first,
                               incident(alone[a], "20s") + incident(alone[b], "22s"));
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
    for (const auto& [name, incidents] : cases) {
        const Experiment e = read_experiment("name = \"" + name + "\"\nseeds = " + std::to_string(seeds) +
                                                 "\nlength = \"60s\"\njudged_from = \"10s\"\n" + arms +
                                                 "[fleet]\nservers = 16\nbalancers = 4\n" + mixed_fleet +
                                                 "[traffic]\nuse = 0.6\ngroups = 200\nreturn_after = "
                                                 "\"80ms\"\n[[traffic.type]]\nname = \"watch\"\nshare = 0.6\n"
                                                 "[[traffic.type]]\nname = \"match\"\nshare = 0.4\nload = "
                                                 "14\nrevenue = 2\nmessage_target = \"50ms\"\n" +
                                                 incidents,
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
    return ok ? 0 : claim_failed;
}

}  // namespace headrouter::experiments
