/// Tests replaying, explaining, cutting and anonymizing captures.
#include "capture/captured.h"
#include "capture/edit.h"
#include "capture/explain.h"

using namespace headrouter::capture;
using Outcome = ReplayResult::Outcome;

TEST(Replay, CaptureReplaysToSameDecisionsTwice) {
    const TemporaryFolder folder;
    const std::string path = folder.write_file(record_bad_day());
    for (int k = 0; k < 2; ++k) {
        const ReplayResult result = replay({path});
        EXPECT_EQ(result.outcome, Outcome::same);
        EXPECT_TRUE(result.reason.empty());
        EXPECT_GT(result.events, 400);
        EXPECT_GT(result.actions, 250);
    }
}

TEST(Replay, CaptureStartedMidwayReplaysToSameActions) {
    MemoryRecorder whole;
    MemoryRecorder part;
    ScriptedScenario scenario(&whole);
    scenario.play_bad_day();
    part.wants_new_state = true;
    scenario.policy.record_to(&part);  // starts in the middle of the traffic
    scenario.send_requests(200, millis(15));
    scenario.crash("B");
    scenario.send_requests(100, millis(30));
    const TemporaryFolder folder;
    const ReplayResult result = replay({folder.write_file(part.finish())});
    EXPECT_EQ(result.outcome, Outcome::same);
    EXPECT_GT(result.events, 300);
}

TEST(Replay, StateAtSegmentStartMustMatchEndOfPreviousSegment) {
    MemoryRecorder recorder;
    ScriptedScenario scenario(&recorder);
    scenario.play_bad_day();
    const std::string first = recorder.finish();
    recorder.bytes.clear();
    recorder.wants_new_state = true;
    scenario.send_requests(50, millis(20));
    const std::string second = recorder.finish();
    const TemporaryFolder folder;
    const std::string first_path = folder.write_file(first, "1.hrc");
    const std::string second_path = folder.write_file(second, "2.hrc");
    EXPECT_EQ(replay({first_path, second_path}).outcome, Outcome::same);
    EXPECT_EQ(replay({second_path}).outcome, Outcome::same);
    // A segment of another policy, with the same recording id.
    MemoryRecorder other;
    ScriptedScenario other_scenario(&other, ScriptedScenario::grouped(), 4);
    other_scenario.play_bad_day();
    other.bytes.clear();
    other.open_block = Block{};
    other.wants_new_state = true;
    other_scenario.send_requests(1, millis(20));
    const ReplayResult result = replay({first_path, folder.write_file(other.finish(), "3.hrc")});
    EXPECT_EQ(result.outcome, Outcome::differs);
    EXPECT_NE(result.reason.find("the state at its head"), std::string::npos);
}

TEST(Replay, ChangedActionIsReportedWithItsEvent) {
    MemoryRecorder recorder;
    ScriptedScenario scenario(&recorder);
    scenario.play_bad_day();
    // One recorded action is changed to another server, as if this build decided differently.
    Block changed;
    int attempts = 0;
    std::string description;
    for_each_frame(recorder.open_block.bytes, [&](std::string_view bytes) {
        RecordedEvent event = decode(bytes);
        for (RecordedAction& action : event.actions) {
            if (action.kind != RecordedAction::Kind::start_attempt) continue;
            ++attempts;
            if (attempts != 40) continue;
            action.server = "nowhere";
            description = describe(event);
        }
        std::string encoded;
        encode(event, encoded);
        append_frame(changed.bytes, encoded);
        ++changed.count;
        return true;
    });
    recorder.open_block = changed;
    const TemporaryFolder folder;
    const ReplayResult result = replay({folder.write_file(recorder.finish())});
    EXPECT_EQ(result.outcome, Outcome::differs);
    EXPECT_NE(result.reason.find(description), std::string::npos);
    EXPECT_NE(result.reason.find("was: start attempt for request"), std::string::npos);
    EXPECT_NE(result.reason.find("at nowhere"), std::string::npos);
}

TEST(Replay, ExplainShowsFleetViewWhenRequestWasPlaced) {
    const TemporaryFolder folder;
    const Explanation explanation = explain({folder.write_file(record_bad_day())}, 70);
    EXPECT_EQ(explanation.result.outcome, Outcome::same);
    for (const char* phrase : {"request arrived 70", "-> start attempt for request 70 at ", "own load",
                               "distrust", "skipped after failures"})
        EXPECT_NE(explanation.text.find(phrase), std::string::npos);
    EXPECT_TRUE(explain({folder.write_file(record_bad_day())}, 999'999).text.empty());
}

TEST(Replay, CutCaptureReplaysByItself) {
    const TemporaryFolder folder;
    const std::string whole = folder.write_file(record_bad_day());
    const std::string part = folder.path + "/part.hrc";
    EXPECT_EQ(cut({whole}, seconds(2), seconds(4), part).outcome, Outcome::same);
    const ReplayResult result = replay({part});
    EXPECT_EQ(result.outcome, Outcome::same);
    EXPECT_GT(result.events, 50);
    EXPECT_LT(result.events, replay({whole}).events);
    EXPECT_GE(result.first - replay({whole}).first, seconds(2));
}

TEST(Replay, AnonymizedCaptureHasNoNamesAndReplaysToSameActions) {
    const TemporaryFolder folder;
    const std::string whole = folder.write_file(record_bad_day());
    const std::string anonymized = folder.path + "/anonymized.hrc";
    EXPECT_EQ(anonymize({whole}, anonymized).outcome, Outcome::same);
    const ReplayResult result = replay({anonymized});
    EXPECT_EQ(result.outcome, Outcome::same);
    EXPECT_EQ(result.events, replay({whole}).events);
    bool has_names = false;
    read_segment_file(
        anonymized, [](const SegmentHeader&) {},
        [&](const Block& block) {
            if (block.bytes.find("group") != std::string::npos) has_names = true;
            if (block.bytes.find("key") != std::string::npos) has_names = true;
            return true;
        });
    EXPECT_FALSE(has_names);
}

TEST(Replay, ReplayStopsAtGapAndReportsMissingEvents) {
    MemoryRecorder recorder;
    ScriptedScenario scenario(&recorder);
    scenario.play_bad_day();
    std::string bytes = recorder.finish();
    MemoryRecorder after;
    after.wants_new_state = true;
    scenario.policy.record_to(&after);
    scenario.send_requests(5, millis(20));
    const std::string whole = after.finish();
    // The gap block is between the header and the state, as the recorder writes it.
    std::string with_gap;
    read_segment(
        reader_of(whole),
        [&](const SegmentHeader& header) {
            with_gap = encode(header) + encode(Block{BlockKind::gap, 17, {}, {}, {}});
        },
        [&](const Block& block) {
            with_gap += encode(block);
            return true;
        });
    with_gap += encode(Block{BlockKind::index, 0, {}, {}, {}});
    const TemporaryFolder folder;
    const ReplayResult result =
        replay({folder.write_file(bytes, "1.hrc"), folder.write_file(with_gap, "2.hrc")});
    EXPECT_EQ(result.outcome, Outcome::incomplete);
    EXPECT_EQ(result.missing_events, 17);
    EXPECT_NE(result.reason.find("a gap of 17 events"), std::string::npos);
    EXPECT_EQ(replay({folder.path + "/2.hrc"}).outcome, Outcome::same);  // complete by itself
}
