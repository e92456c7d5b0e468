// headrouter_lab: experiments on a model of the fleet and on loopback with stand-in servers.
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <atomic>
#include <csignal>
#include <fstream>
#include <iostream>
#include <thread>

#include "capture/recorder.h"
#include "config/toml_fields.h"
#include "experiments/demo.h"
#include "experiments/experiment.h"
#include "experiments/fleet_run.h"
#include "experiments/from_capture.h"
#include "experiments/measures.h"
#include "experiments/report.h"
#include "experiments/results.h"
#include "experiments/runner.h"

namespace {

using namespace headrouter;
using namespace headrouter::experiments;

std::atomic<bool> stop{false};
// What a broken rule, a wrong file and a run that could not be judged end the lab with.
constexpr int rules_broken = 1, wrong_input = 2, not_judged = 3, stopped = 130;

// What was built beside the lab.
std::string beside(const char* own, const char* name) {
    std::string path = own;
    char exact[4096];
    if (const ssize_t n = readlink("/proc/self/exe", exact, sizeof exact); n > 0)
        path.assign(exact, static_cast<size_t>(n));
    return path.substr(0, path.rfind('/') + 1) + name;
}

struct Asked {
    std::string file, on = "model", out, program, other, clock, logs, record;
    std::vector<std::string> captures;
    int threads = static_cast<int>(std::max(1u, std::thread::hardware_concurrency()));
    int seeds = 0;
    bool quick = false;
};

enum class What { run, compare, sweep };

/// The experiment of the file, cut down to what the command plays of it.
Experiment read_asked(const Asked& a, What what) {
    Experiment e = read_experiment(file_text(a.file), a.file);
    if (a.seeds > 0) {
        const uint64_t first = e.seeds.front();
        e.seeds.clear();
        for (int k = 0; k < a.seeds; ++k) e.seeds.push_back(first + static_cast<uint64_t>(k));
    }
    if (what == What::sweep && e.swept.empty())
        throw ParseError(a.file + ": sweep: expected a table [sweep] with key and values");
    if (what == What::run) {  // one arm, one seed, the file's own value
        e.points.resize(1);
        e.points[0].arms.resize(1);
        e.seeds.resize(1);
    }
    return e;
}

/// Replaces the clients and the schedule of every arm by those of the captures.
void use_captures(const std::vector<std::string>& captures, Experiment& e) {
    std::vector<std::string> paths;
    for (const std::string& given : captures)
        for (std::string& path : capture::segments_at(given)) paths.push_back(std::move(path));
    const FromCapture from = read_capture(paths);
    std::cout << from.clients << " clients with " << from.requests << " calls, " << from.servers.size()
              << " servers, " << to_seconds(from.length) << " s from the capture\n";
    for (Point& p : e.points)
        for (Arm& arm : p.arms) play_capture(from, arm.world, arm.placing);
}

/// Throws where an arm cannot be played on sockets.
void check_sockets(const Asked& a, const Experiment& e) {
    for (const Point& p : e.points)
        for (const Arm& arm : p.arms) {
            if (!a.captures.empty() || !a.record.empty())
                throw ParseError(
                    "captures are played and taken on the model; on sockets, the operator's file takes them");
            if (arm.placing.policy != simulation::PolicyKind::balancing)
                throw ParseError(a.file + ": arm " + arm.placing.name +
                                 ": expected policy \"brain\" on sockets, where the "
                                 "program itself runs");
        }
}

/// Throws at a fault that only process fleets can play.
void check_faults(const Asked& a, const Experiment& e) {
    for (const Point& p : e.points)
        for (const Arm& arm : p.arms)
            for (const scenario::Fault& f : arm.world.faults)
                if (!is_on_model(f.kind))
                    throw ParseError(a.file + ": fault " + word(f.kind) +
                                     ": expected one that the model has; `crowd` plays it");
}

/// The file that results are added to; not open where none is asked for.
std::ofstream open_results(const std::string& path) {
    std::ofstream out;
    if (path.empty()) return out;
    out.open(path, std::ios::app);
    if (!out) throw ParseError("'" + path + "' cannot be written");
    return out;
}

int exit_code(const std::vector<scenario::Outcome>& all) {
    bool broken = false, unjudged = false;
    for (const scenario::Outcome& o : all) {
        unjudged = unjudged || !o.not_judged.empty();
        broken = broken || (o.not_judged.empty() && o.rules_broken() > 0);
    }
    return stop ? stopped : unjudged ? not_judged : broken ? rules_broken : 0;
}

/// Prints what a run has to say beyond the table's figures.
void print_remarks(const scenario::Outcome& o) {
    if (!o.not_judged.empty())
        std::cout << "not judged: " << o.arm << ", seed " << o.seed << ": " << o.not_judged << "\n";
    if (o.left_waiting > 0)
        std::cout << o.arm << ", seed " << o.seed << ": " << o.left_waiting
                  << " clients left while they waited, " << o.sent_after_left
                  << " legs of theirs began over 0.1 s later\n";
    for (const std::string& example : o.examples)
        std::cout << o.arm << ", seed " << o.seed << ": " << example << "\n";
}

int play_file(const Asked& a, What what) {
    Experiment e = read_asked(a, what);
    if (!a.captures.empty()) use_captures(a.captures, e);
    if (!a.record.empty()) e.points[0].arms[0].placing.record_to = a.record;
    const On on = a.on == "sockets" ? On::sockets : On::model;
    if (on == On::sockets) check_sockets(a, e);
    std::ofstream out = open_results(a.out);
    const bool terminal = isatty(2) == 1;
    check_faults(a, e);
    Playing how;
    how.on = on;
    how.threads = a.threads;
    how.program = a.program;
    how.stop = &stop;
    how.done = [&](const scenario::Outcome& o) {
        if (a.out.empty()) return;
        out << to_json(o) << '\n';
        out.flush();
    };
    how.progress = [&](size_t done, size_t of) {
        if (terminal)
            std::cerr << "\r" << done << " of " << of << " runs" << (done == of ? "\n" : "") << std::flush;
    };
    const std::vector<scenario::Outcome> all = play(e, how);
    std::cout << e.name << " on " << (on == On::model ? "the model" : "sockets, stand-in servers") << ", "
              << e.seeds.size() << (e.seeds.size() == 1 ? " seed" : " seeds")
              << (stop ? ", stopped: partial" : "") << "\n"
              << table_of(e, all);
    const scenario::Scenario& first = e.points[0].arms[0].world;
    if (first.tells_size || first.messages || !first.faults.empty())
        std::cout << "\n" << process_fleet_table(all);
    for (const scenario::Outcome& o : all) print_remarks(o);
    return exit_code(all);
}

// One arm after the other, each with the one program and the other, seed by seed: they share the cores.
int play_process_fleet(const Asked& a) {
    Experiment e = read_experiment(file_text(a.file), a.file);
    if (a.seeds > 0)
        for (e.seeds.resize(1); static_cast<int>(e.seeds.size()) < a.seeds;)
            e.seeds.push_back(e.seeds.back() + 1);
    std::ofstream out = open_results(a.out);
    std::vector<scenario::Outcome> all;
    for (const Point& p : e.points)
        for (const uint64_t seed : e.seeds)
            for (const Arm& arm : p.arms)
                for (const std::string& program : {a.program, a.other}) {
                    if (program.empty() || stop) continue;
                    FleetRunOptions play;
                    play.program = program;
                    play.clock = a.clock;
                    play.log_folder = a.logs;
                    play.stop = &stop;
                    const std::string name = arm.placing.name + (program == a.other ? " (other)" : "");
                    all.push_back(run_process_fleet(arm.world, name, seed, play));
                    all.back().experiment = e.name;
                    all.back().swept = p.value;
                    if (!a.out.empty()) out << to_json(all.back()) << std::endl;
                }
    std::cout << e.name << ", processes on loopback, stand-in servers" << (stop ? ", stopped: partial" : "")
              << "\n"
              << process_fleet_table(all);
    if (!all.empty() && !all.front().injections.empty())
        std::cout << "faults, seed " << all.front().seed << ":\n" << timeline_of(all.front().injections);
    return exit_code(all);
}

/// Reads the command line and does what it says; the exit code.
int run_command(int argc, char** argv) {
    CLI::App app{
        "Experiments for headrouter: on a model of the fleet in virtual time, and on loopback sockets with "
        "stand-in servers. docs/lab.md tells how to write one."};
    app.require_subcommand(1);
    Asked a;
    a.program = beside(argv[0], "headrouter");
    a.clock = beside(argv[0], "libheadrouter_clock.so");
    const auto common = [&](CLI::App* sub) {
        sub->add_option("file", a.file, "the experiment, in TOML")->required();
        sub->add_option("--on", a.on, "model or sockets")
            ->check(CLI::IsMember({"model", "sockets"}))
            ->capture_default_str();
        sub->add_option("--out", a.out, "add the results to this file, a JSON line a run");
        sub->add_option("--threads", a.threads, "runs of the model side by side")->check(CLI::Range(1, 256));
        sub->add_option("--balancer", a.program, "the balancer's program, for sockets");
    };
    auto* run = app.add_subcommand("run", "plays the first arm of an experiment once");
    auto* compare = app.add_subcommand("compare", "plays all arms over all seeds, side by side");
    auto* sweep = app.add_subcommand("sweep", "the same for each value of the experiment's sweep");
    for (CLI::App* sub : {run, compare, sweep}) {
        common(sub);
        sub->add_option("--capture", a.captures,
                        "play the clients and the list of a capture in place of the file's own");
        if (sub == run)
            sub->add_option("--record", a.record,
                            "take a capture of what each policy is told, into this folder");
        else
            sub->add_option("--seeds", a.seeds, "in place of the file's number")->check(CLI::Range(1, 1000));
    }
    auto* process_fleet = app.add_subcommand(
        "crowd", "plays all arms with hundreds of processes of the program and faults between them");
    process_fleet->add_option("file", a.file, "the experiment, in TOML")->required();
    process_fleet->add_option("--program", a.other,
                              "another build of the balancer, played beside the present one");
    process_fleet->add_option("--balancer", a.program, "in place of the present one");
    process_fleet->add_option("--out", a.out, "add the results to this file, a JSON line a run");
    process_fleet->add_option("--logs", a.logs, "keep logs, configurations and the timeline in this folder");
    process_fleet->add_option("--seeds", a.seeds, "in place of the file's number")
        ->check(CLI::Range(1, 1000));
    auto* report = app.add_subcommand("report", "makes a page of HTML from results");
    std::string page = "report.html";
    report->add_option("results", a.file, "a file of JSON lines")->required();
    report->add_option("-o,--output", page, "the page")->capture_default_str();
    auto* measured = app.add_subcommand(
        "measure", "proves a claim: a table, then a line of JSON; exit code 0 if it holds");
    std::string name;
    measured->add_option("name", name, "which")->required()->check(CLI::IsMember(measure_names()));
    measured->add_flag("--quick", a.quick, "smaller, within 50 s");
    measured->add_option("--threads", a.threads, "runs of the model side by side")->check(CLI::Range(1, 256));
    measured->add_option("--balancer", a.program, "the balancer's program");
    measured->add_option("--program", a.other, "another build, measured beside it where the measure can");
    auto* shown =
        app.add_subcommand("demo", "starts balancers with a stand-in fleet and shows clients being served");
    double seconds_long = 20;
    shown->add_option("--seconds", seconds_long, "how long")
        ->check(CLI::Range(5.0, 3600.0))
        ->capture_default_str();
    shown->add_option("--balancer", a.program, "the balancer's program");
    CLI11_PARSE(app, argc, argv);
    if (run->parsed()) return play_file(a, What::run);
    if (compare->parsed()) return play_file(a, What::compare);
    if (process_fleet->parsed()) return play_process_fleet(a);
    if (sweep->parsed()) return play_file(a, What::sweep);
    if (shown->parsed()) return demo(a.program, seconds_long, &stop);
    if (measured->parsed()) return measure(name, {a.quick, a.threads, a.program, a.other, a.clock, &stop});
    const Results results = read_results(a.file);
    std::ofstream out(page);
    out << report_html(results.outcomes, results.cut_off);
    if (!out.flush()) throw ParseError("'" + page + "' cannot be written");
    std::cout << page << ": " << results.outcomes.size() << " runs\n";
    return 0;
}

}  // namespace

int main(int argc, char** argv) {
    std::signal(SIGINT, [](int) { stop = true; });
    std::signal(SIGTERM, [](int) { stop = true; });
    try {
        return run_command(argc, argv);
    } catch (const std::exception& e) {
        std::cerr << "headrouter_lab: " << e.what() << "\n";
        return wrong_input;
    }
}
