/// \file
/// The segments of a capture, as bytes; no files here.
///
/// A capture is a sequence of segments, each of which can be replayed by itself: a header, the policy's whole
/// state, then blocks of frames (one recorded event each), and an index at its end. docs/capture-format.md
/// describes the bytes.
#pragma once
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "base/time.h"

namespace headrouter::capture {

/// Writers close a block of frames once it has so many bytes, before compression.
inline constexpr size_t target_block_bytes = 128 << 10;

struct SegmentHeader {
    std::string build;     ///< the program's version
    std::string name;      ///< the balancer's
    uint64_t capture = 0;  ///< id of the recording, the same in all its segments
    uint32_t segment = 0;  ///< number within the recording, from 0
    int64_t unix_ms = 0;   ///< when it begins, by the wall clock; informative only
    TimePoint begins;      ///< when it begins, by the policy's clock
};

/// The numbers stand in captures. Readers pass over blocks of another kind: they are of a newer minor
/// version.
enum class BlockKind : uint8_t { state = 'S', frames = 'F', gap = 'G', index = 'I' };

struct Block {
    BlockKind kind = BlockKind::frames;
    uint32_t count = 0;  ///< frames in it; of a gap, frames that are missing
    TimePoint first;     ///< when its first event happened
    TimePoint last;
    std::string bytes;  ///< before compression
};

[[nodiscard]] std::string encode(const SegmentHeader& header);

/// Compressed, with lengths and a checksum.
[[nodiscard]] std::string encode(const Block& block);

/// Appends a frame, with its length, to the bytes of a block.
void append_frame(std::string& block_bytes, std::string_view frame);

/// Calls `on_frame` with each frame of a block's bytes until it returns false. Throws ParseError where the
/// lengths do not fit.
void for_each_frame(std::string_view block_bytes,
                    const std::function<bool(std::string_view frame)>& on_frame);

}  // namespace headrouter::capture
