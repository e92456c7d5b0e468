#include "capture/segment_reader.h"

#include <zstd.h>

#include <array>
#include <memory>
#include <optional>
#include <utility>

#include "base/parse_error.h"
#include "capture/segment_layout.h"

namespace headrouter::capture {

namespace {

// Limits that no writer exceeds. A greater length is damage, and must not cause an allocation.
constexpr uint32_t max_header_bytes = 4096;
constexpr uint32_t max_compressed_bytes = 64 << 20;
constexpr uint32_t max_block_bytes = 256 << 20;

bool is_known(BlockKind kind) {
    return kind == BlockKind::state || kind == BlockKind::frames || kind == BlockKind::gap;
}

std::string describe_length(const char* what, uint32_t length, uint32_t limit) {
    return std::string(what) + " is " + std::to_string(length) + " bytes long; expected " +
           std::to_string(limit) + " at most";
}

class SegmentReader {
   public:
    explicit SegmentReader(const ByteSource& source)
        : source_(source), decompression_(ZSTD_createDCtx(), ZSTD_freeDCtx) {}

    SegmentReadResult read(const std::function<void(const SegmentHeader&)>& on_header,
                           const std::function<bool(const Block&)>& on_block) {
        bool keep_reading = read_header(on_header);
        while (keep_reading) keep_reading = read_block(on_block);
        return std::move(result_);
    }

   private:
    // Lengths and checksums from the prefix of a block.
    struct BlockPrefix {
        uint32_t compressed_bytes = 0;
        uint32_t bytes = 0;
        Checksum checksum = 0;
        Checksum checksum_of_prefix = 0;
    };

    // Sets the result. Returns false, so that callers stop reading.
    bool stop(SegmentEnd end, std::string reason = "") {
        result_ = {end, offset_, std::move(reason)};
        return false;
    }

    // Each of the following functions returns whether reading continues.

    bool read_header(const std::function<void(const SegmentHeader&)>& on_header) {
        std::string bytes;
        if (!read_header_prefix(bytes) || !read_header_text(bytes)) return false;
        const std::string_view checked = std::string_view(bytes).substr(0, bytes.size() - sizeof(Checksum));
        try {
            ByteReader reader(checked.substr(segment_prefix_bytes), "the header");
            SegmentHeader header;
            visit(reader, header);
            on_header(header);
        } catch (const ParseError& error) {
            return stop(SegmentEnd::damaged, error.what());
        }
        offset_ = bytes.size();
        return true;
    }

    bool read_header_prefix(std::string& bytes) {
        bytes.resize(segment_prefix_bytes);
        if (source_(bytes.data(), bytes.size()) < bytes.size())
            return stop(SegmentEnd::truncated, "the header is cut off");
        std::string_view prefix = bytes;
        if (!prefix.starts_with(segment_mark))
            return stop(SegmentEnd::damaged, "this is not a capture; expected " + std::string(segment_mark));
        prefix.remove_prefix(segment_mark.size());
        const auto major = take_number<uint16_t>(prefix);
        if (major == format_major) return true;
        return stop(SegmentEnd::too_new,
                    "format " + std::to_string(major) + "; this build reads " + std::to_string(format_major));
    }

    // Reads the header's text and its checksum. The length of the text is the last field of the prefix.
    bool read_header_text(std::string& bytes) {
        std::string_view size_bytes = std::string_view(bytes).substr(segment_prefix_bytes - sizeof(uint32_t));
        const auto size = take_number<uint32_t>(size_bytes);
        if (size > max_header_bytes)
            return stop(SegmentEnd::damaged, describe_length("the header", size, max_header_bytes));
        const size_t rest = size + sizeof(Checksum);
        bytes.resize(segment_prefix_bytes + rest);
        if (source_(bytes.data() + segment_prefix_bytes, rest) < rest)
            return stop(SegmentEnd::truncated, "the header is cut off");
        const std::string_view whole = bytes;
        std::string_view checksum = whole.substr(segment_prefix_bytes + size);
        if (take_number<Checksum>(checksum) != checksum_of(whole.substr(0, segment_prefix_bytes + size)))
            return stop(SegmentEnd::damaged, "the header's checksum is wrong");
        return true;
    }

    bool read_block(const std::function<bool(const Block&)>& on_block) {
        const std::optional<BlockPrefix> prefix = read_block_prefix();
        if (!prefix || !read_block_bytes(*prefix)) return false;
        offset_ += block_prefix_bytes + prefix->compressed_bytes;
        if (block_.kind == BlockKind::index) return stop(SegmentEnd::complete);
        if (is_known(block_.kind) && !on_block(block_)) return stop(SegmentEnd::complete);
        return true;
    }

    // Returns nothing if reading stops.
    std::optional<BlockPrefix> read_block_prefix() {
        std::array<char, block_prefix_bytes> buffer{};
        const size_t size = source_(buffer.data(), buffer.size());
        const std::string_view bytes(buffer.data(), buffer.size());
        if (!check_block_mark(bytes, size)) return std::nullopt;
        const BlockPrefix prefix = parse_block_prefix(bytes);
        if (!check_block_lengths(prefix)) return std::nullopt;
        return prefix;
    }

    bool check_block_mark(std::string_view prefix, size_t size) {
        if (size == 0) return stop(SegmentEnd::open, "no index: still written, or its writer was killed");
        if (size < prefix.size()) return stop(SegmentEnd::truncated, "a block's prefix is cut off");
        if (!prefix.starts_with(block_mark))
            return stop(SegmentEnd::damaged, "no block starts here; expected " + std::string(block_mark));
        return true;
    }

    BlockPrefix parse_block_prefix(std::string_view bytes) {
        const std::string_view checked = bytes.substr(0, block_prefix_bytes - sizeof(Checksum));
        bytes.remove_prefix(block_mark.size());
        BlockPrefix prefix;
        block_.kind = static_cast<BlockKind>(take_number<uint8_t>(bytes));
        prefix.compressed_bytes = take_number<uint32_t>(bytes);
        prefix.bytes = take_number<uint32_t>(bytes);
        block_.count = take_number<uint32_t>(bytes);
        block_.first = TimePoint{take_number<int64_t>(bytes)};
        block_.last = TimePoint{take_number<int64_t>(bytes)};
        prefix.checksum = take_number<Checksum>(bytes);
        prefix.checksum_of_prefix = checksum_of(checked);
        return prefix;
    }

    bool check_block_lengths(const BlockPrefix& prefix) {
        if (prefix.compressed_bytes > max_compressed_bytes)
            return stop(SegmentEnd::damaged,
                        describe_length("a compressed block", prefix.compressed_bytes, max_compressed_bytes));
        if (prefix.bytes > max_block_bytes)
            return stop(SegmentEnd::damaged, describe_length("a block", prefix.bytes, max_block_bytes));
        return true;
    }

    bool read_block_bytes(const BlockPrefix& prefix) {
        compressed_.resize(prefix.compressed_bytes);
        // A corrupt length that exceeds the rest of the segment is reported as truncation, not as damage. In
        // both cases the reader uses nothing after it.
        if (source_(compressed_.data(), compressed_.size()) < compressed_.size())
            return stop(SegmentEnd::truncated, "a block is cut off");
        if (prefix.checksum != checksum_of(compressed_, prefix.checksum_of_prefix))
            return stop(SegmentEnd::damaged, "a block's checksum is wrong");
        block_.bytes.resize(prefix.bytes);
        const size_t size = ZSTD_decompressDCtx(decompression_.get(), block_.bytes.data(),
                                                block_.bytes.size(), compressed_.data(), compressed_.size());
        if (ZSTD_isError(size) != 0 || size != prefix.bytes)
            return stop(SegmentEnd::damaged, "a block cannot be decompressed");
        return true;
    }

    const ByteSource& source_;
    std::unique_ptr<ZSTD_DCtx, decltype(&ZSTD_freeDCtx)> decompression_;
    uint64_t offset_ = 0;
    Block block_;             // the block that is being read
    std::string compressed_;  // the block's bytes as stored
    SegmentReadResult result_;
};

}  // namespace

const char* name_of(SegmentEnd end) {
    constexpr std::array names{"complete", "open", "cut off", "damaged", "too new"};
    return names[static_cast<size_t>(end)];
}

SegmentReadResult read_segment(const ByteSource& source,
                               const std::function<void(const SegmentHeader&)>& on_header,
                               const std::function<bool(const Block&)>& on_block) {
    return SegmentReader(source).read(on_header, on_block);
}

}  // namespace headrouter::capture
