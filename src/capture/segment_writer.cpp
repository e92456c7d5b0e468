#include "capture/segment_writer.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <cstdio>
#include <filesystem>
#include <system_error>
#include <utility>

#include "capture/archive.h"

namespace headrouter::capture {

namespace {

namespace fs = std::filesystem;

constexpr const char* extension = ".hrc";
constexpr mode_t file_mode = 0640;

// File names begin with the segment's start time in a fixed number of digits, so that they sort by time.
std::string file_name(const SegmentHeader& header) {
    std::array<char, 96> name{};
    std::snprintf(name.data(), name.size(), "%014lld-%016llx-%06u", static_cast<long long>(header.unix_ms),
                  static_cast<unsigned long long>(header.capture), header.segment);
    return std::string(name.data()) + extension;
}

// Entry of a block in the index; docs/capture-format.md describes it.
struct IndexEntry {
    uint64_t offset = 0;
    TimePoint first;
    TimePoint last;
    uint32_t count = 0;
};

template <class Visitor>
void for_each_field(IndexEntry& entry, Visitor visit) {
    visit(entry.offset);
    visit(entry.first);
    visit(entry.last);
    visit(entry.count);
}

bool write_all(int file, std::string_view bytes) {
    while (!bytes.empty()) {
        const ssize_t written = ::write(file, bytes.data(), bytes.size());
        if (written < 0 && errno == EINTR) continue;
        if (written <= 0) return false;
        bytes.remove_prefix(static_cast<size_t>(written));
    }
    return true;
}

}  // namespace

std::vector<std::string> segments_at(const std::string& path) {
    if (!fs::is_directory(path)) return {path};
    std::vector<std::string> segments;
    for (const auto& entry : fs::directory_iterator(path))
        if (entry.path().extension() == extension) segments.push_back(entry.path());
    std::sort(segments.begin(), segments.end());
    return segments;
}

SegmentWriter::SegmentWriter(std::string folder, RetentionLimits limits)
    : folder_(std::move(folder)), limits_(limits) {}

SegmentWriter::~SegmentWriter() { abandon(); }

void SegmentWriter::begin(const SegmentHeader& header, const Block& state) {
    finish();
    remove_old();
    open(header);
    append_bytes(encode(header));
    if (state.count > 0) append_gap(state);
    append(state);
}

void SegmentWriter::open(const SegmentHeader& header) {
    const std::string path = folder_ + "/" + file_name(header);
    file_ = ::open(path.c_str(), O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC, file_mode);
    if (file_ < 0) abandon_and_throw();
    offset_ = 0;
    index_.clear();
    blocks_ = 0;
}

void SegmentWriter::append_gap(const Block& state) {
    Block gap;
    gap.kind = BlockKind::gap;
    gap.count = state.count;
    gap.first = state.first;
    gap.last = state.last;
    append_bytes(encode(gap));
}

void SegmentWriter::append(const Block& block) {
    IndexEntry entry{offset_, block.first, block.last, block.count};
    ByteWriter writer(index_);
    visit(writer, entry);
    ++blocks_;
    append_bytes(encode(block));
}

void SegmentWriter::append_bytes(const std::string& bytes) {
    if (!write_all(file_, bytes)) abandon_and_throw();
    offset_ += bytes.size();
}

void SegmentWriter::finish() {
    if (!is_open()) return;
    Block index;
    index.kind = BlockKind::index;
    index.count = blocks_;
    index.bytes = index_;
    write_all(file_, encode(index));  // errors are ignored: without its index the segment reads as open
    abandon();
}

void SegmentWriter::abandon() {
    if (is_open()) ::close(file_);
    file_ = -1;
}

void SegmentWriter::abandon_and_throw() {
    const int error = errno;
    abandon();
    throw std::system_error(error, std::generic_category(), "cannot write to " + folder_);
}

// Counts and removes only files with the extension of segments.
void SegmentWriter::remove_old() const {
    std::error_code ignored;
    if (!fs::is_directory(folder_, ignored)) return;
    std::vector<std::string> newest_first = segments_at(folder_);
    std::reverse(newest_first.begin(), newest_first.end());
    const auto now = fs::file_time_type::clock::now();
    size_t bytes = 0;
    for (const std::string& path : newest_first) {
        bytes += fs::file_size(path, ignored);
        const std::chrono::duration<double> age = now - fs::last_write_time(path, ignored);
        const bool is_old = age.count() > to_seconds(limits_.age);
        if (bytes > limits_.bytes || is_old) fs::remove(path, ignored);
    }
}

}  // namespace headrouter::capture
