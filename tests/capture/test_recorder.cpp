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
/// Waits until `holds` returns true, for ten seconds at most.
static bool holds_soon(const std::function<bool()>& holds) {
    for (int k = 0; k < 2000 && !holds(); ++k) std::this_thread::sleep_for(std::chrono::milliseconds(5));
    return holds();
}

TEST(Recorder, ARecordingReplaysAcrossItsSegments) {
    const TemporaryFolder folder;
    RecorderConfig config = make_recorder_config(folder);
    config.segment_bytes = 60'000;
    uint64_t frames = 0;
    {
        Recorder recorder(config, "n", "b");
        ScriptedDay day(&recorder);
        day.play_bad_day(3);
        frames = recorder.frames();
        day.policy.record_to(nullptr);
    }
    const auto paths = segments_at(folder.path);
    const ReplayResult result = replay(paths);
    EXPECT_GT(paths.size(), 2u);
    EXPECT_EQ(result.outcome, Outcome::same);
    EXPECT_EQ(result.events, frames);
    EXPECT_EQ(result.missing_events, 0);
    EXPECT_EQ(replay({paths[1]}).outcome, Outcome::same);  // each by itself
}

TEST(Recorder, AStalledDiskDropsEventsThenRecordsANewState) {
    const TemporaryFolder folder;
    RecorderConfig config = make_recorder_config(folder);
    config.queue_bytes = 100'000;
    uint64_t dropped = 0;
    {
        Recorder recorder(config, "n", "b");
        recorder.stall_for_test(true);
        ScriptedDay day(&recorder);
        day.play_bad_day(4);
        dropped = recorder.dropped();
        EXPECT_GT(dropped, 100);
        recorder.stall_for_test(false);
        EXPECT_TRUE(holds_soon([&] { return segments_at(folder.path).size() == 1; }));
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
        day.send_requests(30, millis(20));
        day.policy.record_to(nullptr);
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

TEST(Recorder, AMissingFolderIsAFaultAndRequestsGoOn) {
    TemporaryFolder folder;
    RecorderConfig config = make_recorder_config(folder);
    std::filesystem::remove_all(folder.path);
    Recorder recorder(config, "n", "b");
    ScriptedDay day(&recorder);
    day.update_endpoints(make_endpoints(3));
    day.send_requests(20, millis(20));
    EXPECT_TRUE(holds_soon([&] { return recorder.faults() > 0; }));
    EXPECT_EQ(recorder.last_fault().find("cannot write to " + folder.path), 0);
    const uint64_t placed = day.established.size();
    day.send_requests(20, millis(20));
    EXPECT_GT(day.established.size(), placed);
    std::filesystem::create_directories(folder.path);  // recording goes on
    EXPECT_TRUE(holds_soon([&] {
        day.send_requests(1, millis(2000));
        recorder.tick(day.now);
        return !segments_at(folder.path).empty();
    }));
    day.policy.record_to(nullptr);
}

TEST(Recorder, OldSegmentsAreRemovedWhenTheFolderIsFull) {
    const TemporaryFolder folder;
    folder.write_file("not ours", "notes.txt");
    RecorderConfig config = make_recorder_config(folder);
    config.segment_bytes = 30'000;
    config.keep_bytes = 30'000;
    {
        Recorder recorder(config, "n", "b");
        ScriptedDay day(&recorder);
        day.play_bad_day(5);
        day.policy.record_to(nullptr);
    }
    size_t bytes = 0;
    for (const std::string& path : segments_at(folder.path)) bytes += std::filesystem::file_size(path);
    EXPECT_LT(bytes, 60'000);
    EXPECT_LT(segments_at(folder.path).size(), 8u);
    EXPECT_TRUE(std::filesystem::exists(folder.path + "/notes.txt"));
    EXPECT_EQ(replay({segments_at(folder.path).back()}).outcome, Outcome::same);
}

TEST(Recorder, WithoutARecorderThePolicyWorksAlike) {
    ScriptedDay day(nullptr);
    day.play_bad_day();
    EXPECT_GT(day.established.size(), 10u);
}
