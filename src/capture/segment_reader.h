/// \file
/// Reads segments, including those that a disk failure or a killed writer left damaged or incomplete.
#pragma once
#include <cstdint>
#include <functional>
#include <string>

#include "capture/segment.h"

namespace headrouter::capture {

/// How a segment ended.
enum class SegmentEnd {
    complete,   ///< with its index
    open,       ///< without an index, after a whole block: still being written, or its writer was killed
    truncated,  ///< in the middle of a header or block
    damaged,    ///< a checksum or a length is wrong
    too_new     ///< of a major format version that this build does not read
};

[[nodiscard]] const char* name_of(SegmentEnd end);

/// Describes where and why the reading of a segment ended.
struct SegmentReadResult {
    SegmentEnd end = SegmentEnd::complete;
    uint64_t offset = 0;  ///< of the first byte that could not be read or decoded
    std::string reason;   ///< why the segment is not complete
};

/// Copies the next bytes of a segment to `into` and returns their number, which is below `size` only at the
/// end.
using ByteSource = std::function<size_t(char* into, size_t size)>;

/// Reads a segment block by block, in bounded memory. Calls `on_header` once, then `on_block` with each
/// state, gap and block of frames until `on_block` returns false. Damage is reported in the result. Throws
/// only what the callbacks throw, except that a ParseError from `on_header` counts as damage.
SegmentReadResult read_segment(const ByteSource& source,
                               const std::function<void(const SegmentHeader&)>& on_header,
                               const std::function<bool(const Block&)>& on_block);

}  // namespace headrouter::capture
