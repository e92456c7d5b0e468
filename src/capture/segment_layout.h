/// \file
/// Defines the binary layout of segments; private to their writer and reader.
#pragma once
#include <cstdint>
#include <cstring>
#include <string>
#include <string_view>

#include "capture/archive.h"
#include "capture/segment.h"

namespace headrouter::capture {

/// Version of the format. A reader understands every minor version of its major version.
inline constexpr uint16_t format_major = 1;
inline constexpr uint16_t format_minor = 0;

inline constexpr std::string_view segment_mark = "HRCAPTUR";
inline constexpr std::string_view block_mark = "BLK:";

using Checksum = uint64_t;

/// Size of the mark, the versions and the length of the header's text.
inline constexpr size_t segment_prefix_bytes =
    segment_mark.size() + sizeof(format_major) + sizeof(format_minor) + sizeof(uint32_t);

/// Size of a block's mark, kind, lengths, count, first and last time, and checksum.
inline constexpr size_t block_prefix_bytes =
    block_mark.size() + sizeof(BlockKind) + 3 * sizeof(uint32_t) + 2 * sizeof(int64_t) + sizeof(Checksum);

template <class Visitor>
void for_each_field(SegmentHeader& header, Visitor visit) {
    visit(header.build);
    visit(header.name);
    visit(header.capture);
    visit(header.segment);
    visit(header.unix_ms);
    visit(header.begins);
}

/// Returns the checksum of `bytes`. `seed` is the checksum of the bytes before them, to chain checksums.
[[nodiscard]] Checksum checksum_of(std::string_view bytes, Checksum seed = 0);

template <class Number>
void append_number(std::string& bytes, Number value) {
    bytes.append(reinterpret_cast<const char*>(&value), sizeof value);
}

/// Removes a number from the front of `bytes` and returns it. `bytes` must be long enough.
template <class Number>
Number take_number(std::string_view& bytes) {
    Number value;
    std::memcpy(&value, bytes.data(), sizeof value);
    bytes.remove_prefix(sizeof value);
    return value;
}

}  // namespace headrouter::capture
