#include "app/capture_statistics.h"

#include <array>
#include <cinttypes>
#include <cstdint>
#include <cstdio>
#include <map>
#include <set>
#include <string_view>

#include "capture/event_codec.h"
#include "capture/event_text.h"
#include "capture/replay.h"
#include "capture/segment.h"

namespace headrouter {

namespace {

using capture::Block;
using capture::RecordedAction;

class CaptureStatistics {
   public:
    void read_segment(const std::string& path);
    void print() const;
    bool is_complete() const { return incomplete_segments_.empty(); }

   private:
    bool add_block(const Block&);
    void add_event(std::string_view bytes);
    void add_action(const RecordedAction&);
    uint64_t count_of(RecordedAction::Kind kind) const { return actions_[static_cast<size_t>(kind)]; }

    std::string source_;  // name and build of the balancer that made the recording
    std::set<uint64_t> recordings_;
    size_t segments_ = 0;
    uint64_t bytes_ = 0;
    uint64_t events_ = 0;
    uint64_t lost_in_gaps_ = 0;
    TimePoint first_;
    TimePoint last_;
    std::map<std::string, uint64_t> events_by_kind_;
    std::array<uint64_t, static_cast<size_t>(RecordedAction::Kind::count)> actions_{};
    std::map<std::string, uint64_t> placements_by_server_;
    std::string incomplete_segments_;  // one line for each
};

void CaptureStatistics::read_segment(const std::string& path) {
    ++segments_;
    const capture::SegmentReadResult result = capture::read_segment_file(
        path,
        [&](const capture::SegmentHeader& header) {
            source_ = header.name + ", build " + header.build;
            recordings_.insert(header.capture);
        },
        [&](const Block& block) { return add_block(block); });
    bytes_ += result.offset;
    if (result.end == capture::SegmentEnd::complete) return;
    incomplete_segments_ += path + ": " + capture::name_of(result.end) + " at byte " +
                            std::to_string(result.offset) + ": " + result.reason + "\n";
}

bool CaptureStatistics::add_block(const Block& block) {
    if (block.kind == capture::BlockKind::gap) lost_in_gaps_ += block.count;
    if (block.kind != capture::BlockKind::frames) return true;
    if (events_ == 0) first_ = block.first;
    last_ = block.last;
    events_ += block.count;
    capture::for_each_frame(block.bytes, [&](std::string_view bytes) {
        add_event(bytes);
        return true;
    });
    return true;
}

void CaptureStatistics::add_event(std::string_view bytes) {
    const capture::RecordedEvent event = capture::decode(bytes);
    ++events_by_kind_[capture::name_of(event.kind)];
    for (const RecordedAction& action : event.actions) add_action(action);
}

void CaptureStatistics::add_action(const RecordedAction& action) {
    ++actions_[static_cast<size_t>(action.kind)];
    if (action.kind == RecordedAction::Kind::start_attempt) ++placements_by_server_[action.server];
}

void CaptureStatistics::print() const {
    const double length = events_ > 0 ? to_seconds(last_ - first_) : 0.0;
    std::printf("%s: %zu segments of %zu recordings, %" PRIu64 " bytes, %" PRIu64
                " events in %.1f s, %" PRIu64 " lost in gaps\n",
                source_.c_str(), segments_, recordings_.size(), bytes_, events_, length, lost_in_gaps_);
    for (const auto& [kind, count] : events_by_kind_)
        std::printf("  %-20s %10" PRIu64 "\n", kind.c_str(), count);
    std::printf("actions: %" PRIu64 " attempts started, %" PRIu64 " rejects, %" PRIu64 " failures, %" PRIu64
                " migrations\n",
                count_of(RecordedAction::Kind::start_attempt), count_of(RecordedAction::Kind::reject),
                count_of(RecordedAction::Kind::fail), count_of(RecordedAction::Kind::migrate));
    for (const auto& [server, count] : placements_by_server_)
        std::printf("  to %-14s %10" PRIu64 "\n", server.c_str(), count);
    std::printf("%s", incomplete_segments_.c_str());
}

}  // namespace

bool print_capture_statistics(const std::vector<std::string>& segment_paths) {
    CaptureStatistics statistics;
    for (const std::string& path : segment_paths) statistics.read_segment(path);
    statistics.print();
    return statistics.is_complete();
}

}  // namespace headrouter
