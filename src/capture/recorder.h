/// \file
/// Records the policy's events to a folder.
#pragma once
#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

#include "capture/recording_policy.h"
#include "capture/segment.h"
#include "capture/segment_writer.h"

namespace headrouter::capture {

/// Folder, segment limits and retention of a recorder.
struct RecorderConfig {
    std::string folder;
    size_t segment_bytes = 16 << 20;  ///< size, before compression, at which a new segment begins
    Duration segment_age = seconds(600);
    size_t keep_bytes = size_t{1} << 30;  ///< of all segments in the folder; the oldest are removed first
    Duration keep_age = seconds(7 * 86400);
    size_t queue_bytes = 8 << 20;  ///< limit of the blocks that wait for the writer thread
};

/// Writes events on a thread of its own, so that the balancer's thread only queues blocks and never waits for
/// the disk. If the disk is too slow or fails, blocks are dropped, a gap block holds the number of lost
/// events, and recording resumes with the whole state in a new segment. All public functions are called on
/// the policy's thread.
class Recorder : public EventRecorder {
   public:
    /// `name` is the name of the balancer, `build` the version of the program; each segment header holds
    /// both.
    Recorder(RecorderConfig config, std::string name, std::string build);
    /// Writes the queued blocks, for a bounded time.
    ~Recorder() override;
    Recorder(const Recorder&) = delete;
    Recorder& operator=(const Recorder&) = delete;

    [[nodiscard]] bool wants_state() const override { return wants_state_ || faults_.load() != faults_seen_; }
    void begin_segment(TimePoint now, std::string state) override;
    void record(TimePoint now, std::string_view event) override;

    /// Makes a new segment begin with the next event.
    void rotate() { wants_state_ = true; }
    /// Queues the open block for writing if the block is a second old. Called a few times per second.
    void tick(TimePoint now);

    /// Returns the number of recorded events, including dropped ones.
    [[nodiscard]] uint64_t frames() const { return frames_; }
    [[nodiscard]] uint64_t dropped() const { return dropped_; }
    /// Returns the number of write failures.
    [[nodiscard]] uint64_t faults() const { return faults_.load(); }
    /// Returns the message of the latest write failure, for the log.
    [[nodiscard]] std::string last_fault() const;

    /// For tests: makes the writer thread write nothing, as with a stalled disk.
    void stall_for_test(bool is_stalled);

   private:
    // A block that waits for the writer thread.
    struct QueuedBlock {
        SegmentHeader header;  // set for a state block, which begins a segment
        Block block;
    };

    void queue_open_block();
    [[nodiscard]] bool enqueue(QueuedBlock queued);
    void run_writer();
    std::optional<QueuedBlock> wait_for_next();
    void write(const QueuedBlock& queued);
    void record_fault(const std::string& reason);

    // Used by the policy's thread only.
    RecorderConfig config_;
    SegmentHeader header_;
    bool wants_state_ = true;
    uint64_t faults_seen_ = 0;
    uint64_t frames_ = 0;
    uint64_t dropped_ = 0;
    uint32_t missing_frames_ = 0;  // dropped since the last state was queued
    size_t segment_bytes_ = 0;
    TimePoint segment_begin_;
    Block open_block_;

    // Shared by the two threads.
    mutable std::mutex mutex_;
    std::condition_variable wake_;
    std::deque<QueuedBlock> queue_;
    size_t queued_bytes_ = 0;
    bool is_stopping_ = false;
    bool is_stalled_ = false;
    std::string last_fault_;
    std::atomic<uint64_t> faults_{0};

    // Used by the writer thread only.
    SegmentWriter writer_;
    std::optional<std::chrono::steady_clock::time_point> stop_deadline_;
    std::thread thread_;  // last: the thread uses the members above
};

}  // namespace headrouter::capture
