#include "capture/archive.h"

#include "base/parse_error.h"

namespace headrouter::capture {

std::string ByteReader::describe_offset(size_t offset) const {
    return "offset " + std::to_string(offset) + " of " + std::string(name_);
}

void ByteReader::throw_truncated(size_t size) const {
    throw ParseError(describe_offset(offset_), "is followed by " + std::to_string(left()) + " bytes",
                     std::to_string(size) + " at least");
}

void ByteReader::check_flag(uint8_t value) const {
    if (value > 1)
        throw ParseError(describe_offset(offset_ - 1), "is " + std::to_string(value), "a flag, 0 or 1");
}

void ByteReader::check_count(size_t count) const {
    if (count <= left()) return;
    throw ParseError(
        describe_offset(offset_),
        "begins a list of " + std::to_string(count) + " elements in " + std::to_string(left()) + " bytes",
        "a byte for each at least");
}

void ByteReader::check_end() const {
    if (left() == 0) return;
    throw ParseError(describe_offset(offset_), "is followed by " + std::to_string(left()) + " bytes",
                     "the end");
}

}  // namespace headrouter::capture
