/// \file
/// Reading a segment, whatever a disk or a killed writer has left of it.
#pragma once
#include <cstdint>
#include <functional>
#include <string>

#include "capture/segment.h"

namespace headrouter::capture {

/// How a segment ended.
enum class SegmentEnd {
    complete,   ///< with its index
    open,       ///< between two blocks, without an index: it is still written, or its writer was killed
    truncated,  ///< in the middle of a header or block
    damaged,    ///< a checksum or a length is wrong
    too_new     ///< of a format that this build does not know
};

[[nodiscard]] const char* name_of(SegmentEnd end);

/// What a reader found at the end of a segment.
struct SegmentReadResult {
    SegmentEnd end = SegmentEnd::complete;
    uint64_t offset = 0;  ///< of the first byte that was not understood
    std::string reason;   ///< why the segment is not complete
};

/// Gives the next bytes of a segment: fewer than `size` only at its end. Returns how many.
using ByteSource = std::function<size_t(char* into, size_t size)>;

/// Reads a segment block by block, in bounded memory: calls `on_header` once, then `on_block` with each
/// state, gap and block of frames until it returns false. Damage is reported by the result; nothing is thrown
/// but what the callbacks throw, except that a ParseError of `on_header` counts as damage.
SegmentReadResult read_segment(const ByteSource& source,
                               const std::function<void(const SegmentHeader&)>& on_header,
                               const std::function<bool(const Block&)>& on_block);

}  // namespace headrouter::capture
