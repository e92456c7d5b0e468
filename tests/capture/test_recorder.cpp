#include <sys/stat.h>

#include <chrono>
#include <thread>

#include "capture/captured.h"
#include "capture/recorder.h"

using namespace headrouter::capture;
using Outcome = ReplayResult::Outcome;

static RecorderConfig make_recorder_config(const TemporaryFolder& folder) {
    RecorderConfig config;
    config.folder = folder.path;
    return config;
}

/// Waits until `condition` returns true, for ten seconds at most. Returns whether it did.
static bool becomes_true(const std::function<bool()>& condition) {
    for (int k = 0; k < 2000 && !condition(); ++k) std::this_thread::sleep_for(std::chrono::milliseconds(5));
    return condition();
}

TEST(Recorder, RecordingWithSeveralSegmentsReplaysToSameActions) {
    const TemporaryFolder folder;
    RecorderConfig config = make_recorder_config(folder);
    config.segment_bytes = 60'000;
    uint64_t frames = 0;
    {
        Recorder recorder(config, "n", "b");
        ScriptedScenario scenario(&recorder);
        scenario.play_bad_day(3);
        frames = recorder.frames();
        scenario.policy.record_to(nullptr);
    }
    const auto paths = segments_at(folder.path);
    const ReplayResult result = replay(paths);
    EXPECT_GT(paths.size(), 2u);
    EXPECT_EQ(result.outcome, Outcome::same);
    EXPECT_EQ(result.events, frames);
    EXPECT_EQ(result.missing_events, 0);
    EXPECT_EQ(replay({paths[1]}).outcome, Outcome::same);  // one segment alone
}

TEST(Recorder, StalledDiskDropsEventsThenRecordsNewState) {
    const TemporaryFolder folder;
    RecorderConfig config = make_recorder_config(folder);
    config.queue_bytes = 100'000;
    uint64_t dropped = 0;
    {
        Recorder recorder(config, "n", "b");
        recorder.stall_for_test(true);
        ScriptedScenario scenario(&recorder);
        scenario.play_bad_day(4);
        dropped = recorder.dropped();
        EXPECT_GT(dropped, 100);
        recorder.stall_for_test(false);
        EXPECT_TRUE(becomes_true([&] { return segments_at(folder.path).size() == 1; }));
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
        scenario.send_requests(30, millis(20));
        scenario.policy.record_to(nullptr);
        dropped = recorder.dropped();
    }
    const auto paths = segments_at(folder.path);
    EXPECT_GE(paths.size(), 2u);
    const ReplayResult result = replay(paths);
    EXPECT_EQ(result.outcome, Outcome::incomplete);
    EXPECT_GT(result.missing_events, 0);
    EXPECT_LE(result.missing_events, dropped);
    EXPECT_NE(result.reason.find("a gap of"), std::string::npos);
    EXPECT_EQ(replay({paths.back()}).outcome, Outcome::same);
}

TEST(Recorder, MissingFolderCountsAsFaultWhileRequestsContinue) {
    TemporaryFolder folder;
    RecorderConfig config = make_recorder_config(folder);
    std::filesystem::remove_all(folder.path);
    Recorder recorder(config, "n", "b");
    ScriptedScenario scenario(&recorder);
    scenario.update_endpoints(make_endpoints(3));
    scenario.send_requests(20, millis(20));
    EXPECT_TRUE(becomes_true([&] { return recorder.faults() > 0; }));
    EXPECT_EQ(recorder.last_fault().find("cannot write to " + folder.path), 0);
    const uint64_t placed = scenario.established.size();
    scenario.send_requests(20, millis(20));
    EXPECT_GT(scenario.established.size(), placed);
    std::filesystem::create_directories(folder.path);  // recording must resume
    EXPECT_TRUE(becomes_true([&] {
        scenario.send_requests(1, millis(2000));
        recorder.tick(scenario.now);
        return !segments_at(folder.path).empty();
    }));
    scenario.policy.record_to(nullptr);
}

TEST(Recorder, OldSegmentsAreRemovedWhenFolderExceedsSizeLimit) {
    const TemporaryFolder folder;
    folder.write_file("not a segment", "notes.txt");
    RecorderConfig config = make_recorder_config(folder);
    config.segment_bytes = 30'000;
    config.keep_bytes = 30'000;
    {
        Recorder recorder(config, "n", "b");
        ScriptedScenario scenario(&recorder);
        scenario.play_bad_day(5);
        scenario.policy.record_to(nullptr);
    }
    size_t bytes = 0;
    for (const std::string& path : segments_at(folder.path)) bytes += std::filesystem::file_size(path);
    EXPECT_LT(bytes, 60'000);
    EXPECT_LT(segments_at(folder.path).size(), 8u);
    EXPECT_TRUE(std::filesystem::exists(folder.path + "/notes.txt"));
    EXPECT_EQ(replay({segments_at(folder.path).back()}).outcome, Outcome::same);
}

TEST(Recorder, PolicyPlacesRequestsWithoutRecorder) {
    ScriptedScenario scenario(nullptr);
    scenario.play_bad_day();
    EXPECT_GT(scenario.established.size(), 10u);
}
