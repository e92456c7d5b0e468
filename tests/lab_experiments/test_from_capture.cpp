#include <functional>

#include "capture/captured.h"
#include "capture/recorder.h"
#include "experiments/from_capture.h"

using namespace headrouter::experiments;
using namespace headrouter::scenario;
using namespace headrouter::capture;

TEST(FromCapture, ARecordedDayComesBackAsClientsAndDeeds) {
    const TemporaryFolder folder;
    const FromCapture from = read_capture({folder.write_file(record_bad_day(2))});
    EXPECT_TRUE(from.servers == std::vector<std::string>({"A", "B", "C", "D", "E", "F"}));
    EXPECT_EQ(from.requests, 480);
    EXPECT_LE(from.clients, 480);
    EXPECT_GE(from.clients, 50);  // keys come again
    const auto count = [&](ScheduledAction::What what) {
        return std::count_if(from.given.actions.begin(), from.given.actions.end(),
                             [&](const ScheduledAction& d) { return d.what == what; });
    };
    EXPECT_EQ(count(ScheduledAction::What::start_cold), 2);
    EXPECT_EQ(count(ScheduledAction::What::list_gone), 2);
    EXPECT_EQ(count(ScheduledAction::What::list_serving), 2);
    for (const Session& s : from.given.sessions)
        EXPECT_TRUE(s.load > 0 && s.until > s.from && !s.group.empty());
}

TEST(FromCapture, ItPlaysClosedLoopAndWhatItRecordsReplays) {
    const TemporaryFolder folder;
    const FromCapture from = read_capture({folder.write_file(record_bad_day(2))});
    Scenario w;
    simulation::Arm arm;
    play_capture(from, w, arm);
    const Outcome plain = simulation::run(w, arm, 1, 1);
    arm.record_to = folder.path + "/taken";
    std::filesystem::create_directories(arm.record_to);
    const Outcome recorded = simulation::run(w, arm, 1, 1);
    EXPECT_GE(plain.requests, from.clients);
    EXPECT_EQ(plain.rules_broken(), 0);
    EXPECT_EQ(plain.digest, recorded.digest);
    const ReplayResult v = replay(segments_at(arm.record_to));
    if (!v.reason.empty()) std::fprintf(stderr, "%s\n", v.reason.c_str());
    EXPECT_EQ(v.outcome, ReplayResult::Outcome::same);
    EXPECT_GT(v.events, 200);
}

TEST(FromCapture, WhatCannotBePlayedIsRefused) {
    const TemporaryFolder folder;
    Scenario w;
    w.traffic.types.clear();
    simulation::Arm arm;
    const FromCapture from = read_capture({folder.write_file(record_bad_day())});
    for (const auto& wrong :
         {std::function<void()>([&] { play_capture(from, w, arm); }),
          std::function<void()>([&] { read_capture({folder.write_file("HRCAPTUR", "y.hrc")}); })})
        try {
            wrong();
            EXPECT_TRUE(false);
        } catch (const ParseError&) {
        }
}
