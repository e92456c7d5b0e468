#include "capture/captured.h"
#include "capture/edit.h"
#include "capture/explain.h"

using namespace headrouter::capture;
using Outcome = ReplayResult::Outcome;

TEST(Replay, ABadDayReplaysToTheSameDecisionsTwice) {
    const TemporaryFolder folder;
    const std::string path = folder.file(small_capture());
    for (int k = 0; k < 2; ++k) {
        const ReplayResult result = replay({path});
        EXPECT_EQ(result.outcome, Outcome::same);
        EXPECT_TRUE(result.reason.empty());
        EXPECT_GT(result.events, 400);
        EXPECT_GT(result.actions, 250);
    }
}

TEST(Replay, AStateBroughtBackGoesOnAsTheOneItWasTakenFrom) {
    MemoryRecorder whole, part;
    ScriptedDay a(&whole);
    a.play_bad_day();
    part.wants_new_state = true;
    a.policy.record_to(&part);  // from the middle of its life
    a.send_requests(200, millis(15));
    a.crash("B");
    a.send_requests(100, millis(30));
    const TemporaryFolder folder;
    const ReplayResult result = replay({folder.file(part.finish())});
    EXPECT_EQ(result.outcome, Outcome::same);
    EXPECT_GT(result.events, 300);
}

TEST(Replay, ASegmentLeadsToTheStateAtTheHeadOfTheNext) {
    MemoryRecorder recorder;
    ScriptedDay day(&recorder);
    day.play_bad_day();
    const std::string first = recorder.finish();
    recorder.bytes.clear();
    recorder.wants_new_state = true;
    day.send_requests(50, millis(20));
    const std::string second = recorder.finish();
    const TemporaryFolder folder;
    const std::string a = folder.file(first, "1.hrc"), b = folder.file(second, "2.hrc");
    EXPECT_EQ(replay({a, b}).outcome, Outcome::same);
    EXPECT_EQ(replay({b}).outcome, Outcome::same);
    // One that another module led to, under the same recording's name.
    MemoryRecorder other;
    ScriptedDay other_day(&other, ScriptedDay::grouped(), 4);
    other_day.play_bad_day();
    other.bytes.clear();
    other.open = Block{};
    other.wants_new_state = true;
    other_day.send_requests(1, millis(20));
    const ReplayResult result = replay({a, folder.file(other.finish(), "3.hrc")});
    EXPECT_EQ(result.outcome, Outcome::differs);
    EXPECT_NE(result.reason.find("the state at its head"), std::string::npos);
}

TEST(Replay, AChangedDecisionIsNamedWithTheEventBeforeIt) {
    MemoryRecorder recorder;
    ScriptedDay day(&recorder);
    day.play_bad_day();
    // One action of one frame says another server: as if this build decided otherwise.
    Block changed;
    int at = 0;
    std::string told;
    for_each_frame(recorder.open.bytes, [&](std::string_view bytes) {
        RecordedEvent f = decode(bytes);
        for (RecordedAction& d : f.actions)
            if (d.kind == RecordedAction::Kind::start_attempt && ++at == 40)
                d.server = "nowhere", told = describe(f);
        std::string is_reconnect;
        encode(f, is_reconnect);
        append_frame(changed.bytes, is_reconnect);
        ++changed.count;
        return true;
    });
    recorder.open = changed;
    const TemporaryFolder folder;
    const ReplayResult result = replay({folder.file(recorder.finish())});
    EXPECT_EQ(result.outcome, Outcome::differs);
    EXPECT_NE(result.reason.find(told), std::string::npos);
    EXPECT_NE(result.reason.find("was: start attempt for request"), std::string::npos);
    EXPECT_NE(result.reason.find("at nowhere"), std::string::npos);
}

TEST(Replay, WhyTellsWhatWasSeenWhenACallWasPlaced) {
    const TemporaryFolder folder;
    const Explanation w = explain({folder.file(small_capture())}, 70);
    EXPECT_EQ(w.result.outcome, Outcome::same);
    for (const char* said : {"request arrived 70", "-> start attempt for request 70 at ", "own load",
                             "distrust", "skipped after failures"})
        EXPECT_NE(w.text.find(said), std::string::npos);
    EXPECT_TRUE(explain({folder.file(small_capture())}, 999'999).text.empty());
}

TEST(Replay, APartCutOutReplaysByItself) {
    const TemporaryFolder folder;
    const std::string whole = folder.file(small_capture()), part = folder.path + "/part.hrc";
    EXPECT_EQ(cut({whole}, seconds(2), seconds(4), part).outcome, Outcome::same);
    const ReplayResult result = replay({part});
    EXPECT_EQ(result.outcome, Outcome::same);
    EXPECT_GT(result.events, 50);
    EXPECT_LT(result.events, replay({whole}).events);
    EXPECT_GE(result.first - replay({whole}).first, seconds(2));
}

TEST(Replay, AnAnonymousOneNamesNobodyAndReplaysToItself) {
    const TemporaryFolder folder;
    const std::string whole = folder.file(small_capture()), hidden = folder.path + "/hidden.hrc";
    EXPECT_EQ(anonymize({whole}, hidden).outcome, Outcome::same);
    const ReplayResult result = replay({hidden});
    EXPECT_EQ(result.outcome, Outcome::same);
    EXPECT_EQ(result.events, replay({whole}).events);
    bool named = false;
    read_segment_file(
        hidden, [](const SegmentHeader&) {},
        [&](const Block& b) {
            named = named || b.bytes.find("group") != std::string::npos ||
                    b.bytes.find("key") != std::string::npos;
            return true;
        });
    EXPECT_FALSE(named);
}

TEST(Replay, AGapStopsAReplayOpenly) {
    MemoryRecorder recorder;
    ScriptedDay day(&recorder);
    day.play_bad_day();
    std::string bytes = recorder.finish();
    MemoryRecorder after;
    after.wants_new_state = true;
    day.policy.record_to(&after);
    day.send_requests(5, millis(20));
    const std::string whole = after.finish();
    const std::string head = encode(SegmentHeader{"test", "n", 77, 0, 0, after.open.first});
    // As the recorder writes it: the gap between the header and the state.
    MemoryRecorder dummy;
    std::string with_gap;
    read_segment(
        [from = std::string_view(whole)](char* into, size_t n) mutable {
            n = std::min(n, from.size());
            from.copy(into, n);
            from.remove_prefix(n);
            return n;
        },
        [&](const SegmentHeader& h) {
            with_gap = encode(h) + encode(Block{BlockKind::gap, 17, {}, {}, {}});
        },
        [&](const Block& b) { return with_gap += encode(b), true; });
    with_gap += encode(Block{BlockKind::index, 0, {}, {}, {}});
    const TemporaryFolder folder;
    const ReplayResult result = replay({folder.file(bytes, "1.hrc"), folder.file(with_gap, "2.hrc")});
    EXPECT_EQ(result.outcome, Outcome::incomplete);
    EXPECT_EQ(result.missing_events, 17);
    EXPECT_NE(result.reason.find("a gap of 17 events"), std::string::npos);
    EXPECT_EQ(replay({folder.path + "/2.hrc"}).outcome, Outcome::same);  // by itself it is whole
}
