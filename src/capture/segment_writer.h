/// \file
/// Writes segments to files in a folder.
#pragma once
#include <cstdint>
#include <string>
#include <vector>

#include "capture/segment.h"

namespace headrouter::capture {

/// Limits the segments that a folder keeps; the oldest are removed first.
struct RetentionLimits {
    size_t bytes = 0;
    Duration age;
};

/// Writes segments one after the other. Not thread-safe.
class SegmentWriter {
   public:
    SegmentWriter(std::string folder, RetentionLimits limits);
    /// Closes the file without an index.
    ~SegmentWriter();
    SegmentWriter(const SegmentWriter&) = delete;
    SegmentWriter& operator=(const SegmentWriter&) = delete;

    /// Finishes the open segment, removes old segments and begins the next with the policy's state. The count
    /// of `state` is the number of events lost before it. Throws std::system_error if writing fails; the
    /// segment is then abandoned.
    void begin(const SegmentHeader& header, const Block& state);

    /// Appends a block. Throws std::system_error if writing fails; the segment is then abandoned.
    void append(const Block& block);

    /// Writes the index and closes the file.
    void finish();

    [[nodiscard]] bool is_open() const { return file_ >= 0; }

   private:
    void open(const SegmentHeader& header);
    void append_gap(const Block& state);
    void append_bytes(const std::string& bytes);
    void remove_old() const;
    void abandon();
    [[noreturn]] void abandon_and_throw();

    std::string folder_;
    RetentionLimits limits_;
    int file_ = -1;
    uint64_t offset_ = 0;  // of the next block in the file
    std::string index_;    // index of the open segment, as bytes
    uint32_t blocks_ = 0;
};

/// Returns the paths of a folder's segments in the order in which they were written, or `path` itself if it
/// is not a folder.
[[nodiscard]] std::vector<std::string> segments_at(const std::string& path);

}  // namespace headrouter::capture
