/// Tests the segment reader with every prefix, every changed byte and random damage.
#include "capture/captured.h"

using namespace headrouter::capture;

/// Result of reading a segment, with counts of the callbacks.
struct ReadSegment {
    SegmentReadResult result;
    int blocks = 0;
    int headers = 0;
    uint64_t frames = 0;
};

static ReadSegment read_bytes(std::string_view bytes) {
    ReadSegment read;
    read.result = read_segment(
        reader_of(bytes), [&](const SegmentHeader&) { ++read.headers; },
        [&](const Block& block) {
            ++read.blocks;
            if (block.kind != BlockKind::frames) return true;
            for_each_frame(block.bytes, [&](std::string_view frame) {
                (void)decode(frame);
                ++read.frames;
                return true;
            });
            return true;
        });
    return read;
}

/// Records several small blocks, so that tests can try every byte.
static std::string record_small_blocks() {
    MemoryRecorder recorder;
    ScriptedScenario scenario(&recorder);
    scenario.update_endpoints(make_endpoints(3));
    for (int k = 0; k < 4; ++k) {
        scenario.send_requests(3, millis(30));
        recorder.finish_block();
    }
    return recorder.finish();
}

TEST(Segment, CompleteSegmentIsReadCompletely) {
    const ReadSegment read = read_bytes(record_small_blocks());
    EXPECT_EQ(read.result.end, SegmentEnd::complete);
    EXPECT_EQ(read.headers, 1);
    EXPECT_EQ(read.blocks, 5);
    EXPECT_GT(read.frames, 20);
}

TEST(Segment, TruncatedSegmentIsReadUpToLastCompleteBlock) {
    const std::string all = record_small_blocks();
    const TemporaryFolder folder;
    uint64_t frames_before = 0;
    int opens = 0;
    for (size_t n = 0; n < all.size(); ++n) {
        const ReadSegment read = read_bytes(std::string_view(all).substr(0, n));
        EXPECT_TRUE(read.result.end == SegmentEnd::truncated || read.result.end == SegmentEnd::open);
        EXPECT_LE(read.result.offset, n);
        EXPECT_GE(read.frames, frames_before);  // a longer prefix never yields fewer frames
        frames_before = read.frames;
        if (read.result.end == SegmentEnd::open) ++opens;
        if (n % 97 != 0) continue;
        const ReplayResult result = replay({folder.write_file(all.substr(0, n))});
        EXPECT_EQ(result.outcome, ReplayResult::Outcome::incomplete);
        EXPECT_EQ(result.events, read.frames);
        EXPECT_FALSE(result.reason.empty());
    }
    EXPECT_EQ(opens, 6);  // after the header and after each of five blocks
}

TEST(Segment, AnyChangedByteIsDetected) {
    const std::string all = record_small_blocks();
    const uint64_t frames = read_bytes(all).frames;
    size_t undetected = 0;
    for (size_t k = 0; k < all.size(); ++k) {
        std::string damaged = all;
        damaged[k] = static_cast<char>(damaged[k] ^ 0x41);
        const ReadSegment read = read_bytes(damaged);
        if (read.result.end == SegmentEnd::complete) {
            ++undetected;
            EXPECT_EQ(read.frames, frames);
        }
    }
    EXPECT_EQ(undetected, 0);  // every byte is covered by a checksum
}

TEST(Segment, RandomlyDamagedSegmentDoesNotCrashReader) {
    const std::string all = record_small_blocks();
    Pcg32 random(4);
    for (int round = 0; round < 3000; ++round) {
        std::string damaged = all;
        const int times = 1 + static_cast<int>(random.uniform() * 8);
        for (int k = 0; k < times; ++k) {
            const auto at = static_cast<size_t>(random.uniform() * double(damaged.size()));
            if (random.uniform() < 0.3)
                damaged.erase(at, static_cast<size_t>(random.uniform() * 40));
            else if (random.uniform() < 0.3)
                damaged.insert(
                    at, damaged.substr(static_cast<size_t>(random.uniform() * double(damaged.size())), 20));
            else
                damaged[at] = static_cast<char>(random.next());
        }
        const ReadSegment read = read_bytes(damaged);
        EXPECT_TRUE(damaged == all || read.result.end != SegmentEnd::complete ||
                    read.frames <= read_bytes(all).frames);
    }
}

// The checksum does not detect these errors, since a faulty writer computes it over the corrupt bytes.
TEST(Segment, CorruptFramesAreReadOrRejectedAndCorruptStatesRejected) {
    MemoryRecorder recorder;
    ScriptedScenario scenario(&recorder);
    scenario.update_endpoints(make_endpoints(3));
    scenario.send_requests(10, millis(30));
    std::vector<std::string> frames;
    for_each_frame(recorder.open_block.bytes, [&](std::string_view frame) {
        frames.emplace_back(frame);
        return true;
    });
    Pcg32 random(8);
    int rejected = 0;
    for (int round = 0; round < 20'000; ++round) {
        std::string frame = frames[static_cast<size_t>(random.uniform() * double(frames.size()))];
        frame[static_cast<size_t>(random.uniform() * double(frame.size()))] =
            static_cast<char>(random.next());
        if (random.uniform() < 0.2)
            frame.resize(static_cast<size_t>(random.uniform() * double(frame.size())));
        try {
            (void)decode(frame);
        } catch (const ParseError&) {
            ++rejected;
        }
    }
    EXPECT_GT(rejected, 100);
    ReplayedPolicy policy;
    for (const char* malformed : {"", "x", "\xff\xff\xff\xff\xff\xff\xff\xff\xff"})
        EXPECT_THROW(policy.restore(malformed), ParseError);
}

TEST(Segment, NewerMajorVersionIsRejectedWithItsNumber) {
    std::string newer = record_small_blocks();
    newer[8] = 2;
    const ReadSegment read = read_bytes(newer);
    EXPECT_EQ(read.result.end, SegmentEnd::too_new);
    EXPECT_EQ(read.result.reason, "format 2; this build reads 1");
    EXPECT_EQ(read.blocks, 0);
}

TEST(Segment, BlockOfUnknownKindIsSkipped) {
    const std::string all = record_small_blocks();
    std::string with_unknown;
    read_segment(
        reader_of(all), [&](const SegmentHeader& header) { with_unknown = encode(header); },
        [&](const Block& block) {
            with_unknown += encode(Block{static_cast<BlockKind>('Z'), 1, {}, {}, "new"});
            with_unknown += encode(block);
            return true;
        });
    with_unknown += encode(Block{BlockKind::index, 0, {}, {}, {}});
    EXPECT_EQ(read_bytes(with_unknown).result.end, SegmentEnd::complete);
    EXPECT_EQ(read_bytes(with_unknown).frames, read_bytes(all).frames);
}

// Returns the error message for an event that no build can have recorded.
static std::string error_of(const RecordedEvent& event) {
    MemoryRecorder recorder;
    ScriptedScenario scenario(&recorder);
    scenario.update_endpoints(make_endpoints(3));
    ReplayedPolicy policy;
    policy.restore(scenario.policy.state());
    try {
        policy.deliver(event);
    } catch (const ParseError& error) {
        return error.what();
    }
    return "";
}

TEST(Segment, EventInvalidForPolicyIsRejectedWithExpectedValue) {
    RecordedEvent event;
    event.kind = EventKind::request_arrived;
    event.request.id = 5;
    event.request.type = 1;
    EXPECT_EQ(error_of(event), "request 5 is of request class 1; expected one of 1");
    event.kind = EventKind::latency_report;
    event.server = "nowhere";
    EXPECT_EQ(error_of(event),
              "a latency report is of server 'nowhere'; expected one that was listed before");
    event.kind = EventKind::reconfigured;
    EXPECT_EQ(error_of(event), "a configuration has 0 request classes; expected 1 at least, as before");
}

TEST(Segment, EventOfUnknownKindIsRejectedWithKnownKinds) {
    std::string frame;
    encode(RecordedEvent{}, frame);
    frame[0] = '\x63';
    try {
        (void)decode(frame);
        ADD_FAILURE() << "not rejected";
    } catch (const ParseError& error) {
        EXPECT_STREQ(error.what(), "an event is of kind 99; expected 0 to 11");
    }
}

TEST(Segment, FrameLongerThanItsBlockIsRejectedWithItsOffset) {
    std::string block;
    append_frame(block, "abc");
    append_frame(block, "defg");
    block.pop_back();
    try {
        for_each_frame(block, [](std::string_view) { return true; });
        ADD_FAILURE() << "not rejected";
    } catch (const ParseError& error) {
        EXPECT_STREQ(error.what(),
                     "the frame at offset 7 of its block has a length of 4; expected 3 bytes at most");
    }
}
