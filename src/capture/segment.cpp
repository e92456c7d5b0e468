#include "capture/segment.h"

#include <zstd.h>

#include <memory>

#include "base/parse_error.h"
#include "capture/segment_layout.h"

namespace headrouter::capture {

namespace {

constexpr int compression_level = 1;  // the writer shares the machine with the balancer

std::string compressed(std::string_view bytes) {
    // The context is reused: creating one costs more than compressing the events of a second.
    using Context = std::unique_ptr<ZSTD_CCtx, decltype(&ZSTD_freeCCtx)>;
    thread_local const Context context(ZSTD_createCCtx(), ZSTD_freeCCtx);
    std::string result(ZSTD_compressBound(bytes.size()), 0);
    const size_t size = ZSTD_compressCCtx(context.get(), result.data(), result.size(), bytes.data(),
                                          bytes.size(), compression_level);
    result.resize(size);
    return result;
}

}  // namespace

std::string encode(const SegmentHeader& header) {
    std::string text;
    ByteWriter writer(text);
    SegmentHeader copy = header;
    visit(writer, copy);
    std::string bytes(segment_mark);
    append_number(bytes, format_major);
    append_number(bytes, format_minor);
    append_number(bytes, static_cast<uint32_t>(text.size()));
    bytes += text;
    append_number(bytes, checksum_of(bytes));
    return bytes;
}

std::string encode(const Block& block) {
    const std::string payload = compressed(block.bytes);
    std::string bytes(block_mark);
    append_number(bytes, static_cast<uint8_t>(block.kind));
    append_number(bytes, static_cast<uint32_t>(payload.size()));
    append_number(bytes, static_cast<uint32_t>(block.bytes.size()));
    append_number(bytes, block.count);
    append_number(bytes, block.first.ns);
    append_number(bytes, block.last.ns);
    append_number(bytes, checksum_of(payload, checksum_of(bytes)));
    return bytes + payload;
}

void append_frame(std::string& block_bytes, std::string_view frame) {
    append_number(block_bytes, static_cast<uint32_t>(frame.size()));
    block_bytes.append(frame);
}

void for_each_frame(std::string_view block_bytes, const std::function<bool(std::string_view)>& on_frame) {
    std::string_view rest = block_bytes;
    while (!rest.empty()) {
        const auto describe_frame = [&] {
            return "the frame at offset " + std::to_string(block_bytes.size() - rest.size()) +
                   " of its block";
        };
        if (rest.size() < sizeof(uint32_t))
            throw ParseError(describe_frame(), "is cut off", "its length in four bytes");
        const std::string where = describe_frame();
        const auto size = take_number<uint32_t>(rest);
        if (size > rest.size())
            throw ParseError(where, "has a length of " + std::to_string(size),
                             std::to_string(rest.size()) + " bytes at most");
        if (!on_frame(rest.substr(0, size))) return;
        rest.remove_prefix(size);
    }
}

}  // namespace headrouter::capture
