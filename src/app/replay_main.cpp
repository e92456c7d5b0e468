/// headrouter_replay: replays captures of the policy's events, and explains, cuts, anonymizes and compares
/// them.
#include <CLI/CLI.hpp>
#include <array>
#include <cinttypes>
#include <cstdint>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <string>
#include <vector>

#include "app/action_diff.h"
#include "app/capture_statistics.h"
#include "base/parse_error.h"
#include "capture/edit.h"
#include "capture/explain.h"
#include "capture/recorder.h"
#include "capture/replay.h"

namespace {

using namespace headrouter;
using namespace headrouter::capture;

// Exit codes.
constexpr int same = 0;
constexpr int differs = 1;
constexpr int wrong_input = 2;
constexpr int incomplete = 3;

/// Longer than any capture.
constexpr double end_of_capture_s = 1e9;

struct Options {
    std::vector<std::string> captures;  // segments, or folders of them
    std::string actions_path;
    std::string output_path;
    std::string first_actions_path;
    std::string second_actions_path;
    uint64_t request = 0;
    double from_s = 0;
    double to_s = end_of_capture_s;
};

int exit_code(const ReplayResult& result) {
    switch (result.outcome) {
        case ReplayResult::Outcome::same: return same;
        case ReplayResult::Outcome::differs: return differs;
        case ReplayResult::Outcome::incomplete: return incomplete;
    }
    return incomplete;
}

void print(const ReplayResult& result) {
    constexpr std::array words{"the same decisions", "DIFFERS", "incomplete, the same decisions up to there"};
    const double length = result.events > 0 ? to_seconds(result.last - result.first) : 0.0;
    std::printf("%s: %" PRIu64 " events, %" PRIu64 " actions, %" PRIu64 " segments, %.1f s\n",
                words[static_cast<size_t>(result.outcome)], result.events, result.actions, result.segments,
                length);
    if (!result.reason.empty()) std::printf("%s\n", result.reason.c_str());
}

int print_and_exit_code(const ReplayResult& result) {
    print(result);
    return exit_code(result);
}

std::vector<std::string> segments_of(const std::vector<std::string>& captures) {
    std::vector<std::string> segments;
    for (const std::string& path : captures)
        for (std::string& segment : segments_at(path)) segments.push_back(std::move(segment));
    return segments;
}

/// Writes one line for each action on a request: time in ns, number of the action, request, server or "-".
void write_actions(std::ostream& out, TimePoint at, const std::vector<RecordedAction>& actions) {
    for (const RecordedAction& action : actions) {
        if (action.request_id == 0) continue;
        out << at.ns << ' ' << static_cast<int>(action.kind) << ' ' << action.request_id << ' '
            << (action.server.empty() ? "-" : action.server) << '\n';
    }
}

int run(const Options& options) {
    const std::vector<std::string> segments = segments_of(options.captures);
    if (options.actions_path.empty()) return print_and_exit_code(replay(segments));
    std::ofstream out(options.actions_path);
    ReplayObserver observer;
    observer.after_event = [&](const RecordedEvent& event, const std::vector<RecordedAction>& actions) {
        write_actions(out, event.at, actions);
        return true;
    };
    return print_and_exit_code(replay(segments, observer));
}

int print_explanation(const Options& options) {
    const Explanation explanation = capture::explain(segments_of(options.captures), options.request);
    const bool is_found = !explanation.text.empty();
    std::printf("%s", is_found ? explanation.text.c_str() : "this request is not in the capture\n");
    print(explanation.result);
    return is_found ? exit_code(explanation.result) : wrong_input;
}

int print_statistics(const Options& options) {
    return print_capture_statistics(segments_of(options.captures)) ? same : incomplete;
}

int cut_part(const Options& options) {
    return print_and_exit_code(cut(segments_of(options.captures), seconds(options.from_s),
                                   seconds(options.to_s), options.output_path));
}

int anonymise_all(const Options& options) {
    return print_and_exit_code(anonymize(segments_of(options.captures), options.output_path));
}

int diff(const Options& options) {
    return print_action_diff(options.first_actions_path, options.second_actions_path) ? differs : same;
}

using Command = int (*)(const Options&);

/// Adds a command; `chosen` is set to it if the command line names it.
CLI::App* add_command(CLI::App& app, const char* name, const char* description, Command command,
                      Command& chosen) {
    CLI::App* const added = app.add_subcommand(name, description);
    added->callback([command, &chosen] { chosen = command; });
    return added;
}

void add_captures(CLI::App* command, Options& options) {
    command->add_option("captures", options.captures, "segments, or folders of them")->required();
}

void add_commands(CLI::App& app, Options& options, Command& chosen) {
    auto* const runs = add_command(app, "run", "replays and compares every action", run, chosen);
    add_captures(runs, options);
    runs->add_option("--actions", options.actions_path,
                     "write the actions of this build to this file, for diff");

    auto* const whys = add_command(app, "why", "explains one request: the policy's input and decisions",
                                   print_explanation, chosen);
    whys->add_option("call", options.request, "number of the request, as logged at level debug")->required();
    add_captures(whys, options);

    add_captures(add_command(app, "stat", "counts events, actions and placements", print_statistics, chosen),
                 options);

    auto* const cuts = add_command(app, "cut", "copies a time range into a new capture", cut_part, chosen);
    add_captures(cuts, options);
    cuts->add_option("--from", options.from_s, "seconds from the start of the capture");
    cuts->add_option("--to", options.to_s, "seconds from the start of the capture");
    cuts->add_option("-o,--output", options.output_path, "the new segment")->required();

    auto* const anonymous =
        add_command(app, "anonymise",
                    "hashes keys and groups with a salt that is not kept, and records the actions of "
                    "this build on them",
                    anonymise_all, chosen);
    add_captures(anonymous, options);
    anonymous->add_option("-o,--output", options.output_path, "the new segment")->required();

    auto* const diffs = add_command(
        app, "diff", "compares the actions of two builds on one capture, written by run --actions", diff,
        chosen);
    diffs->add_option("first", options.first_actions_path)->required();
    diffs->add_option("second", options.second_actions_path)->required();
}

}  // namespace

/// Runs the chosen command. Returns its exit code.
static int run(int argc, char** argv) {
    CLI::App app{
        "Replays captures of the decision policy's events. Exit code: 0 the same decisions, 1 they "
        "differ, 2 wrong input, 3 the capture is truncated, damaged, too new or has a gap, and was replayed "
        "up to that point. See docs/capture.md."};
    app.require_subcommand(1);
    Options options;
    Command command = nullptr;
    add_commands(app, options, command);
    CLI11_PARSE(app, argc, argv);
    return command(options);
}

int main(int argc, char** argv) {
    try {
        return run(argc, argv);
    } catch (const std::exception& error) {
        std::cerr << "headrouter_replay: " << error.what() << "\n";
        return wrong_input;
    }
}
