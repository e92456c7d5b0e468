#include "experiments/measure_fleet.h"

#include <algorithm>
#include <cstdio>
#include <future>
#include <sstream>

#include "experiments/experiment.h"
#include "experiments/fleet_run.h"
#include "experiments/measure_support.h"
#include "experiments/statistics.h"

namespace headrouter::experiments {
using namespace scenario;

namespace {

// Processes that stand side by side in all runs at once: they are idle for the most part.
constexpr int most_processes = 900;

struct Piece {
    std::string name;  // of the case; with the program's, of the run
    Scenario world;
    uint64_t seed = 1;
    bool other = false;
};

std::string world_text(int balancers, int servers, double standing, double long_for, double from,
                       bool messages, bool weights, bool on) {
    std::ostringstream o;
    o << "length = \"" << long_for << "s\"\njudged_from = \"" << from << "s\"\nstanding = " << standing
      << "\n[fleet]\nbalancers = " << balancers << "\nservers = " << servers
      << "\nzones = 1\ntells_size = true\nmessages = " << (messages ? "true" : "false") << "\n"
      << (on ? messages ? "by_number = true\npooled = true\n" : "by_number = true\n" : "");
    if (weights)
        o << "[[fleet.kind]]\nname = \"small\"\nshare = 0.5\ncores = 4\nweight = 1\n"
             "[[fleet.kind]]\nname = \"large\"\nshare = 0.5\ncores = 12\nweight = 3\n";
    else
        o << "[[fleet.kind]]\ncores = 8\n";
    o << "[traffic]\nramp = \"3s\"\nload_spread = 0\n[[traffic.type]]\nload = 8\nhold = \"30s\"\n";
    return o.str();
}

// Several at once where the machine can hold them; the order of the outcomes is that of the pieces.
std::vector<Outcome> play_all(const std::vector<Piece>& pieces, const Measuring& m) {
    std::vector<Outcome> all(pieces.size());
    for (size_t next = 0; next < pieces.size() && !(m.stop && m.stop->load());) {
        std::vector<std::pair<size_t, std::future<Outcome>>> now;
        for (int processes = 0; next < pieces.size() &&
                                (now.empty() || processes + pieces[next].world.balancers <= most_processes);
             ++next) {
            const Piece& p = pieces[next];
            processes += p.world.balancers;
            now.emplace_back(next, std::async(std::launch::async, [&m, &p] {
                                 FleetRunOptions play;
                                 play.program = p.other ? m.other : m.program;
                                 play.clock = m.clock;
                                 play.stop = m.stop;
                                 return run_process_fleet(p.world, p.name, p.seed, play);
                             }));
        }
        for (auto& [k, outcome] : now) all[k] = outcome.get();
    }
    return all;
}

// What all runs of a case and a program have in common: the means over seeds.
struct Row {
    std::vector<double> over_dice, cv, dice, seeing, most, least, idle, herd, herd_dice, service, moves,
        bytes, datagrams, cpu, failed;
    double worst = 0;
    void add(const Outcome& o, const Spread& s, double served) {
        const double requests = std::max<double>(1, static_cast<double>(o.requests));
        over_dice.push_back(s.over_dice()), cv.push_back(s.cv), dice.push_back(s.dice);
        seeing.push_back(s.seeing), most.push_back(s.most), least.push_back(s.least), idle.push_back(s.idle);
        herd.push_back(s.herd), herd_dice.push_back(s.herd_dice), service.push_back(served);
        moves.push_back(static_cast<double>(o.moved) / requests);
        failed.push_back(static_cast<double>(o.busy + o.failed) / requests);
        bytes.push_back(o.datagram_bytes), datagrams.push_back(o.datagrams), cpu.push_back(o.cpu * 1000);
        worst = std::max(worst, s.worst);
    }
};

// In the order in which they were first asked for.
using Rows = std::vector<std::pair<std::string, Row>>;
Row& row_of(Rows& rows, const std::string& name) {
    const auto it = std::find_if(rows.begin(), rows.end(), [&](const auto& r) { return r.first == name; });
    return it == rows.end() ? rows.emplace_back(name, Row{}).second : it->second;
}

double mean(const std::vector<double>& v) { return mean_of(v).value; }

void print_head(const char* what) {
    std::printf("%-46s %7s %6s %6s %6s %6s %6s %6s %6s %6s %5s %5s %7s %7s %7s %6s\n", what, "service", "cv",
                "dice", "seeing", "/dice", "most", "worst", "least", "idle", "herd", "dice", "moves",
                "failed", "bytes/s", "CPU ms");
}

void print_row(const std::string& name, const Row& r) {
    std::printf(
        "%-46s %7.4f %6.3f %6.3f %6.3f %6.2f %6.2f %6.2f %6.2f %6.4f %5.1f %5.1f %7.4f %7.4f %7.1f %6.2f\n",
        name.c_str(), mean(r.service), mean(r.cv), mean(r.dice), mean(r.seeing), mean(r.over_dice),
        mean(r.most), r.worst, mean(r.least), mean(r.idle), mean(r.herd), mean(r.herd_dice), mean(r.moves),
        mean(r.failed), mean(r.bytes), mean(r.cpu));
}

std::string json_row(const std::string& name, const Row& r) {
    char text[256];
    std::snprintf(text, sizeof text,
                  ",\"%s\":{\"over_dice\":%.4f,\"most\":%.3f,\"least\":%.3f,\"idle\":%.5f,\"herd\":%.2f,"
                  "\"service\":%.4f,\"moves\":%.4f,\"bytes\":%.1f}",
                  name.c_str(), mean(r.over_dice), mean(r.most), mean(r.least), mean(r.idle), mean(r.herd),
                  mean(r.service), mean(r.moves), mean(r.bytes));
    return text;
}

struct Judged {
    uint64_t broken = 0;
    std::string why_not;
    bool partial = false;
    void add(const Outcome& o) {
        partial = partial || o.partial;
        if (!o.not_judged.empty()) why_not = o.arm + ": " + o.not_judged;
        if (o.not_judged.empty()) broken += o.rules_broken();
        for (const std::string& e : o.examples)
            std::printf("%s, seed %llu: %s\n", o.arm.c_str(), static_cast<unsigned long long>(o.seed),
                        e.c_str());
    }
    bool ok() const { return broken == 0 && why_not.empty() && !partial; }
    int code() const { return ok() ? 0 : partial || !why_not.empty() ? not_judged : claim_failed; }
};

int finish(const char* measure, const Measuring& m, const Judged& judged, const std::string& json) {
    if (!judged.why_not.empty()) std::printf("not judged: %s\n", judged.why_not.c_str());
    std::printf("{\"measure\":\"%s\",\"ok\":%s,\"quick\":%s,\"rules_broken\":%llu%s}\n", measure,
                judged.ok() ? "true" : "false", m.quick ? "true" : "false",
                static_cast<unsigned long long>(judged.broken), json.c_str());
    return judged.code();
}

// The present program with the operator's [spread] off and on, and the other one, which may not know it.
struct Variant {
    const char* name;
    bool on, other;
};
std::vector<Variant> variants(const Measuring& m) {
    std::vector<Variant> all{{"", false, false}, {", spread on", true, false}};
    if (!m.other.empty()) all.push_back({" (other)", false, true});
    return all;
}

}  // namespace

int fleet_spread(const Measuring& m) {
    struct Size {
        int balancers, servers;
        double standing;
    };
    std::vector<Size> sizes{{200, 30, 4}, {300, 60, 2}};
    if (m.quick) sizes.resize(1);
    const int seeds = m.quick ? 1 : 3;
    std::vector<Piece> pieces;
    for (const Size& size : sizes)
        for (int seed = 1; seed <= seeds; ++seed)
            for (const bool messages : {true, false})
                for (const bool weights : {false, true})
                    for (const Variant& v : variants(m)) {
                        Piece p;
                        p.name = std::to_string(size.balancers) + "x" + std::to_string(size.servers) + "x" +
                                 std::to_string(static_cast<int>(size.standing)) +
                                 (messages ? " messages" : " alone") + (weights ? ", weights 1 and 3" : "") +
                                 v.name;
                        p.world = read_world(world_text(size.balancers, size.servers, size.standing,
                                                        m.quick ? 24 : 45, m.quick ? 12 : 15, messages,
                                                        weights, v.on));
                        p.seed = static_cast<uint64_t>(seed);
                        p.other = v.other;
                        pieces.push_back(std::move(p));
                    }
    const std::vector<Outcome> all = play_all(pieces, m);
    Judged judged;
    Rows rows;
    for (size_t k = 0; k < all.size(); ++k) {
        judged.add(all[k]);
        row_of(rows, pieces[k].name).add(all[k], all[k].spread, all[k].service());
    }
    print_head("processes x servers x connections");
    std::string json;
    for (const auto& [name, row] : rows) print_row(name, row), json += json_row(name, row);
    std::printf(
        "stand-in servers, %d seed(s); dice: by weight, on the same arrivals; most, least: busiest and "
        "emptiest over the mean, for their weights\n",
        seeds);
    return finish("crowd-spread", m, judged, json);
}

int fleet_faults(const Measuring& m) {
    const std::vector<std::pair<std::string, std::string>> cases{
        {"drop 40 %", "kind = \"drop\"\nsize = 0.4\npart = 1"},
        {"split in halves", "kind = \"split\"\npart = 0.5"},
        {"stall a fifth", "kind = \"stall\"\npart = 0.2"},
        {"restart half", "kind = \"kill\"\npart = 0.5"}};
    const double from = m.quick ? 14 : 20, lasts = m.quick ? 6 : 10;
    const int seeds = m.quick ? 1 : 3;
    const int balancers = m.quick ? 100 : 200;  // so many that all cases stand side by side
    std::vector<Piece> pieces;
    for (int seed = 1; seed <= seeds; ++seed)
        for (const auto& [name, words] : cases)
            for (const Variant& v : variants(m)) {
                Piece p;
                p.name = name + v.name;
                const bool restart = name == "restart half";
                p.world =
                    read_world(world_text(balancers, 30, 4, from + lasts + 12, from - 4, true, false, v.on) +
                               "[[fault]]\nat = \"" + std::to_string(from) + "s\"\nlasts = \"" +
                               std::to_string(restart ? 1 : lasts) + "s\"\n" + words + "\n");
                p.seed = static_cast<uint64_t>(seed);
                p.other = v.other;
                pieces.push_back(std::move(p));
            }
    const std::vector<Outcome> all = play_all(pieces, m);
    Judged judged;
    Rows rows;
    for (size_t k = 0; k < all.size(); ++k) {
        judged.add(all[k]);
        for (const Outcome::Stretch& s : all[k].stretches) {
            row_of(rows, pieces[k].name + ", " + s.name).add(all[k], s.spread, s.service);
        }
    }
    print_head(m.quick ? "100x30x4, messages" : "200x30x4, messages");
    std::string json;
    for (const auto& [name, row] : rows) print_row(name, row), json += json_row(name, row);
    std::printf(
        "stand-in servers, %d seed(s); before: the 4 s up to the fault; after: 8 to 12 s after its end\n",
        seeds);
    return finish("crowd-faults", m, judged, json);
}

}  // namespace headrouter::experiments
