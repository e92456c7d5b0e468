// What the tests of crowds share: small worlds with real processes, and one run of them.
#pragma once
#include <atomic>
#include <filesystem>
#include <iostream>

#include "helpers.h"
#include "lab/crowd.h"
#include "lab/experiment.h"

namespace headrouter::lab {

inline std::string built(const std::string& name) { return std::string(BUILD) + "/" + name; }

inline fleet::World crowd_world(int balancers, int servers, double seconds_long, const std::string& more) {
    return read_world("length = \"" + std::to_string(seconds_long) +
                      "s\"\njudged_from = \"2s\"\nstanding = 4\n[fleet]\nbalancers = " +
                      std::to_string(balancers) + "\nservers = " + std::to_string(servers) +
                      "\nzones = 1\nmessages = true\n[[fleet.kind]]\ncores = 8\n[traffic]\nramp = \"1s\"\n"
                      "load_spread = 0\n[[traffic.type]]\nhold = \"20s\"\nmessage_every = \"500ms\"\n" +
                      more);
}

inline std::string fault(const std::string& kind, double at, double lasts, const std::string& more) {
    return "[[fault]]\nkind = \"" + kind + "\"\nat = \"" + std::to_string(at) + "s\"\nlasts = \"" +
           std::to_string(lasts) + "s\"\n" + more + "\n";
}

// Half of the processes stand still for 3.5 s, just when most clients come again: who speaks to one of those
// goes when its guard time of 2 s is over, and must not be sent on when the process goes on.
inline fleet::World clients_leave_during_a_stall() {
    return crowd_world(
        8, 4, 12,
        fault("stall", 3, 3.5, "part = 0.5") +
            "[[trouble]]\nkind = \"reconnect\"\nat = \"3200ms\"\nlasts = \"500ms\"\npart = 0.8\n");
}

struct LogFolder {
    static inline std::atomic<int> made{0};
    std::string path = (std::filesystem::temp_directory_path() /
                        ("crowd-" + std::to_string(getpid()) + "-" + std::to_string(made++)))
                           .string();
    LogFolder() { std::filesystem::remove_all(path); }
    ~LogFolder() { std::filesystem::remove_all(path); }
};

inline fleet::Outcome play_crowd(const fleet::World& w, const std::string& program = "headrouter",
                                 const std::string& logs = {},
                                 std::function<void(Instant, int, int, std::string_view)> seen = {},
                                 uint64_t seed = 1) {
    CrowdPlay play;
    play.program = built(program);
    play.clock = built("libheadrouter_clock.so");
    play.log_folder = logs;
    play.datagrams = std::move(seen);
    fleet::Outcome o = run_crowd(w, program, seed, play);
    for (const std::string& e : o.examples) std::cerr << e << "\n";
    if (!o.not_judged.empty()) std::cerr << o.not_judged << "\n";
    return o;
}

}  // namespace headrouter::lab
