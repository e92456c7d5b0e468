#include "scenario/fault.h"

#include <algorithm>
#include <array>
#include <cstdio>

#include "base/pcg32.h"
#include "scenario/schedule.h"

namespace headrouter::scenario {

static constexpr std::array<std::pair<const char*, FaultKind>, 27> fault_names{{
    {"drop", FaultKind::drop},
    {"delay", FaultKind::delay},
    {"repeat", FaultKind::repeat},
    {"reorder", FaultKind::reorder},
    {"spoil", FaultKind::spoil},
    {"split", FaultKind::split},
    {"alone", FaultKind::alone},
    {"lie", FaultKind::lie},
    {"list_silent", FaultKind::list_silent},
    {"list_garbled", FaultKind::list_garbled},
    {"list_late", FaultKind::list_late},
    {"list_back", FaultKind::list_back},
    {"list_old", FaultKind::list_old},
    {"list_hidden", FaultKind::list_hidden},
    {"path_stall", FaultKind::path_stall},
    {"path_slow", FaultKind::path_slow},
    {"path_half_open", FaultKind::path_half_open},
    {"path_reset", FaultKind::path_reset},
    {"client_stall", FaultKind::client_stall},
    {"client_slow", FaultKind::client_slow},
    {"client_reset", FaultKind::client_reset},
    {"stall", FaultKind::stall},
    {"kill", FaultKind::kill},
    {"leave", FaultKind::leave},
    {"second", FaultKind::second},
    {"reload", FaultKind::reload},
    {"clock", FaultKind::clock},
}};

const char* word(FaultKind kind) {
    for (const auto& [name, k] : fault_names)
        if (k == kind) return name;
    return "?";
}

std::vector<std::pair<std::string, FaultKind>> fault_words() {
    return {fault_names.begin(), fault_names.end()};
}

bool is_of_datagrams(FaultKind kind) { return kind <= FaultKind::lie; }

bool is_on_model(FaultKind kind) {
    return is_of_datagrams(kind) || kind == FaultKind::stall || kind == FaultKind::kill;
}

std::vector<FaultInjection> injections_of(const Scenario& w, uint64_t seed) {
    Pcg32 chance(seed, 61);
    std::vector<FaultInjection> all;
    for (const Fault& f : w.faults) {
        FaultInjection s{f, f.numbers, {}, f.at, f.at + f.lasts};
        std::vector<int> drawn = some_of(w.balancers, f.part, chance);
        if (f.numbers.empty()) s.balancers = std::move(drawn);
        s.servers = some_of(w.servers, f.servers, chance);
        std::sort(s.balancers.begin(), s.balancers.end());
        std::sort(s.servers.begin(), s.servers.end());
        all.push_back(std::move(s));
    }
    std::stable_sort(all.begin(), all.end(),
                     [](const FaultInjection& a, const FaultInjection& b) { return a.from < b.from; });
    return all;
}

std::string timeline_of(const std::vector<FaultInjection>& injections) {
    std::string text;
    for (const FaultInjection& s : injections) {
        char head[160];
        std::snprintf(head, sizeof head, "%8.3f s to %8.3f s  %-14s size %.3g span %.3g ms%s  ",
                      to_seconds(s.from - TimePoint{}), to_seconds(s.until - TimePoint{}), word(s.fault.kind),
                      s.fault.size, to_seconds(s.fault.span) * 1000,
                      s.fault.way == Way::out  ? " out"
                      : s.fault.way == Way::in ? " in"
                                               : "");
        text += head;
        for (const int b : s.balancers) text += "b" + std::to_string(b) + " ";
        const bool of_servers =
            s.fault.kind == FaultKind::list_hidden ||
            (s.fault.kind >= FaultKind::path_stall && s.fault.kind <= FaultKind::path_reset);
        for (const int k : of_servers ? s.servers : std::vector<int>{}) text += server_name(k) + " ";
        text += "\n";
    }
    return text;
}

}  // namespace headrouter::scenario
