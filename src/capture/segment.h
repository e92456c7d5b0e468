/// \file
/// Encodes the segments of a capture as bytes, without file access.
///
/// A capture is a sequence of segments, each of which can be replayed by itself. A segment has a header, the
/// policy's whole state, blocks of frames (one recorded event each), and an index at its end.
/// docs/capture-format.md describes the bytes.
#pragma once
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "base/time.h"

namespace headrouter::capture {

/// Size, before compression, at which writers close a block of frames.
inline constexpr size_t target_block_bytes = 128 << 10;

/// Identifies a segment and the recording it belongs to.
struct SegmentHeader {
    std::string build;     ///< version of the program
    std::string name;      ///< name of the balancer
    uint64_t capture = 0;  ///< id of the recording, the same in all its segments
    uint32_t segment = 0;  ///< number within the recording, from 0
    int64_t unix_ms = 0;   ///< start of the segment on the wall clock; informative only
    TimePoint begins;      ///< start of the segment on the policy's clock
};

/// Kinds of blocks, whose values are stored in captures. Readers skip blocks of any other kind, which come
/// from a newer minor version of the format.
enum class BlockKind : uint8_t { state = 'S', frames = 'F', gap = 'G', index = 'I' };

/// A block of a segment, uncompressed.
struct Block {
    BlockKind kind = BlockKind::frames;
    uint32_t count = 0;  ///< number of frames; of a gap or state: frames lost before it; of an index: entries
    TimePoint first;     ///< time of its first event
    TimePoint last;      ///< time of its last event
    std::string bytes;   ///< before compression
};

/// Returns the header with the format version and a checksum.
[[nodiscard]] std::string encode(const SegmentHeader& header);

/// Returns the block compressed, with lengths and a checksum.
[[nodiscard]] std::string encode(const Block& block);

/// Appends a frame, with its length, to the bytes of a block.
void append_frame(std::string& block_bytes, std::string_view frame);

/// Calls `on_frame` with each frame of a block's bytes until `on_frame` returns false. Throws ParseError if a
/// frame's length is truncated or exceeds the remaining bytes.
void for_each_frame(std::string_view block_bytes,
                    const std::function<bool(std::string_view frame)>& on_frame);

}  // namespace headrouter::capture
