// The reader against whatever a disk may bring: every prefix, every flipped byte, and a row of random damage.
#include "capture/captured.h"

using namespace headrouter::capture;

struct Got {
    SegmentReadResult reading;
    int blocks = 0, headers = 0;
    uint64_t frames = 0;
};

static Got read_bytes(std::string_view bytes) {
    Got got;
    got.reading = read_segment(
        [&](char* into, size_t n) {
            n = std::min(n, bytes.size());
            bytes.copy(into, n);
            bytes.remove_prefix(n);
            return n;
        },
        [&](const SegmentHeader&) { ++got.headers; },
        [&](const Block& b) {
            ++got.blocks;
            if (b.kind == BlockKind::frames)
                for_each_frame(b.bytes,
                               [&](std::string_view f) { return (void)decode(f), ++got.frames, true; });
            return true;
        });
    return got;
}

// Several blocks, and small, so that every byte can be tried.
static std::string little_capture() {
    MemoryRecorder recorder;
    ScriptedDay day(&recorder);
    day.update_endpoints(make_endpoints(3));
    for (int k = 0; k < 4; ++k) day.send_requests(3, millis(30)), recorder.finish_block();
    return recorder.finish();
}

TEST(Segment, AWholeOneIsReadWhole) {
    const Got got = read_bytes(little_capture());
    EXPECT_EQ(got.reading.end, SegmentEnd::complete);
    EXPECT_EQ(got.headers, 1);
    EXPECT_EQ(got.blocks, 5);
    EXPECT_GT(got.frames, 20);
}

TEST(Segment, EveryPrefixReadsAsFarAsItIsWhole) {
    const std::string all = little_capture();
    const TemporaryFolder folder;
    uint64_t before = 0;
    int opens = 0;
    for (size_t n = 0; n < all.size(); ++n) {
        const Got got = read_bytes(std::string_view(all).substr(0, n));
        EXPECT_TRUE(got.reading.end == SegmentEnd::truncated || got.reading.end == SegmentEnd::open);
        EXPECT_LE(got.reading.offset, n);
        EXPECT_GE(got.frames, before);  // more bytes never tell less
        before = got.frames;
        opens += got.reading.end == SegmentEnd::open;
        if (n % 97 != 0) continue;
        const ReplayResult result = replay({folder.file(all.substr(0, n))});
        EXPECT_EQ(result.outcome, ReplayResult::Outcome::incomplete);
        EXPECT_EQ(result.events, got.frames);
        EXPECT_FALSE(result.reason.empty());
    }
    EXPECT_EQ(opens, 6);  // after the header and after each of five blocks
}

TEST(Segment, EveryFlippedByteIsFoundOrDoesNoHarm) {
    const std::string all = little_capture();
    const uint64_t frames = read_bytes(all).frames;
    size_t harmless = 0;
    for (size_t k = 0; k < all.size(); ++k) {
        std::string bad = all;
        bad[k] = static_cast<char>(bad[k] ^ 0x41);
        const Got got = read_bytes(bad);
        if (got.reading.end == SegmentEnd::complete) {
            ++harmless;
            EXPECT_EQ(got.frames, frames);
        }
    }
    EXPECT_EQ(harmless, 0);  // there is no byte outside a checksum
}

TEST(Segment, RandomDamageNeverCrashesTheReader) {
    const std::string all = little_capture();
    Pcg32 random(4);
    for (int round = 0; round < 3000; ++round) {
        std::string bad = all;
        const int times = 1 + static_cast<int>(random.uniform() * 8);
        for (int k = 0; k < times; ++k) {
            const auto at = static_cast<size_t>(random.uniform() * double(bad.size()));
            if (random.uniform() < 0.3)
                bad.erase(at, static_cast<size_t>(random.uniform() * 40));
            else if (random.uniform() < 0.3)
                bad.insert(at, bad.substr(static_cast<size_t>(random.uniform() * double(bad.size())), 20));
            else
                bad[at] = static_cast<char>(random.next());
        }
        const Got got = read_bytes(bad);
        EXPECT_TRUE(bad == all || got.reading.end != SegmentEnd::complete ||
                    got.frames <= read_bytes(all).frames);
    }
}

// Behind a right checksum too, as from a writer with a fault: frames and states of any bytes.
TEST(Segment, AnyBytesForAFrameOrAStateAreRefusedOrRead) {
    MemoryRecorder recorder;
    ScriptedDay day(&recorder);
    day.update_endpoints(make_endpoints(3));
    day.send_requests(10, millis(30));
    std::vector<std::string> frames;
    for_each_frame(recorder.open.bytes, [&](std::string_view f) { return frames.emplace_back(f), true; });
    Pcg32 random(8);
    int refused = 0;
    for (int round = 0; round < 20'000; ++round) {
        std::string f = frames[static_cast<size_t>(random.uniform() * double(frames.size()))];
        f[static_cast<size_t>(random.uniform() * double(f.size()))] = static_cast<char>(random.next());
        if (random.uniform() < 0.2) f.resize(static_cast<size_t>(random.uniform() * double(f.size())));
        try {
            (void)decode(f);
        } catch (const ParseError&) {
            ++refused;
        }
    }
    EXPECT_GT(refused, 100);
    ReplayedPolicy p;
    for (const char* bad : {"", "x", "\xff\xff\xff\xff\xff\xff\xff\xff\xff"}) try {
            p.restore(bad);
            EXPECT_TRUE(false);
        } catch (const ParseError&) {
        }
}

TEST(Segment, ANewerMajorIsLeftAloneAndSaid) {
    std::string newer = little_capture();
    newer[8] = 2;
    const Got got = read_bytes(newer);
    EXPECT_EQ(got.reading.end, SegmentEnd::too_new);
    EXPECT_EQ(got.reading.reason, "format 2; this build reads 1");
    EXPECT_EQ(got.blocks, 0);
}

TEST(Segment, ANewerMinorWithAKindOfBlockUnknownHereIsRead) {
    const std::string all = little_capture();
    std::string with;
    read_segment(
        [from = std::string_view(all)](char* into, size_t n) mutable {
            n = std::min(n, from.size());
            from.copy(into, n);
            from.remove_prefix(n);
            return n;
        },
        [&](const SegmentHeader& h) { with = encode(h); },
        [&](const Block& b) {
            return with += encode(Block{static_cast<BlockKind>('Z'), 1, {}, {}, "new"}) + encode(b), true;
        });
    with += encode(Block{BlockKind::index, 0, {}, {}, {}});
    EXPECT_EQ(read_bytes(with).reading.end, SegmentEnd::complete);
    EXPECT_EQ(read_bytes(with).frames, read_bytes(all).frames);
}

// What an error says of an event that no build can have recorded.
static std::string error_of(const RecordedEvent& event) {
    MemoryRecorder recorder;
    ScriptedDay day(&recorder);
    day.update_endpoints(make_endpoints(3));
    ReplayedPolicy policy;
    policy.restore(day.policy.state());
    try {
        policy.deliver(event);
    } catch (const ParseError& error) {
        return error.what();
    }
    return "";
}

TEST(Segment, AnEventThatThePolicyCannotHaveHadIsRefusedWithWhatWasExpected) {
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

TEST(Segment, AnEventOfAnUnknownKindIsRefusedWithTheKnownOnes) {
    std::string frame;
    encode(RecordedEvent{}, frame);
    frame[0] = '\x63';
    try {
        (void)decode(frame);
        ADD_FAILURE() << "not refused";
    } catch (const ParseError& error) {
        EXPECT_STREQ(error.what(), "an event is of kind 99; expected 0 to 11");
    }
}

TEST(Segment, AFrameThatIsLongerThanItsBlockIsRefusedWithItsOffset) {
    std::string block;
    append_frame(block, "abc");
    append_frame(block, "defg");
    block.pop_back();
    try {
        for_each_frame(block, [](std::string_view) { return true; });
        ADD_FAILURE() << "not refused";
    } catch (const ParseError& error) {
        EXPECT_STREQ(error.what(),
                     "the frame at offset 7 of its block has a length of 4; expected 3 bytes at most");
    }
}
