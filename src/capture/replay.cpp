#include "capture/replay.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstdio>
#include <system_error>
#include <utility>

#include "base/parse_error.h"
#include "capture/event_codec.h"
#include "capture/event_text.h"

namespace headrouter::capture {

void ReplayedPolicy::restore(std::string_view state) {
    PolicyConfig placeholder;  // replaced by the configuration in the state
    placeholder.request_classes.resize(1);
    policy_ = std::make_unique<BalancingPolicy>(placeholder, 0, actions_, TimePoint{});
    capture::restore(*policy_, state);
    actions_.clear();
}

const std::vector<RecordedAction>& ReplayedPolicy::deliver(const RecordedEvent& event) {
    actions_.clear();
    capture::deliver(event, *policy_);
    return actions_.actions();
}

SegmentReadResult read_segment_file(const std::string& path,
                                    const std::function<void(const SegmentHeader&)>& on_header,
                                    const std::function<bool(const Block&)>& on_block) {
    const std::unique_ptr<FILE, int (*)(FILE*)> file(std::fopen(path.c_str(), "rb"), std::fclose);
    if (!file) throw std::system_error(errno, std::generic_category(), "'" + path + "' cannot be read");
    const ByteSource source = [&](char* into, size_t size) { return std::fread(into, 1, size, file.get()); };
    return read_segment(source, on_header, on_block);
}

namespace {

// Describes the first action in which `actions` differ from those of the recorded event.
std::string describe_difference(const RecordedEvent& event, const std::vector<RecordedAction>& actions) {
    const auto [recorded, replayed] =
        std::mismatch(event.actions.begin(), event.actions.end(), actions.begin(), actions.end());
    const std::string was = recorded == event.actions.end() ? "nothing more" : describe(*recorded);
    const std::string is_now = replayed == actions.end() ? "nothing more" : describe(*replayed);
    const auto number = recorded - event.actions.begin() + 1;
    std::array<char, 32> at{};
    std::snprintf(at.data(), at.size(), "%.6f", to_seconds(event.at - TimePoint{}));
    return std::string("at ") + at.data() + " s, event: " + describe(event) + "; action " +
           std::to_string(number) + " was: " + was + "; is now: " + is_now;
}

class Replay {
   public:
    explicit Replay(const ReplayObserver& observer) : observer_(observer) {}

    ReplayResult run(const std::vector<std::string>& paths) {
        for (const std::string& path : paths)
            if (!replay_segment(path, &path == &paths.back())) return std::move(result_);
        if (result_.segments == 0) stop_incomplete("the capture has no segments");
        return std::move(result_);
    }

   private:
    // Each of these functions returns whether the replay continues.

    bool stop_incomplete(std::string reason) {
        result_.outcome = ReplayResult::Outcome::incomplete;
        result_.reason = std::move(reason);
        return false;
    }

    bool stop_different(std::string reason) {
        result_.outcome = ReplayResult::Outcome::differs;
        result_.reason = std::move(reason);
        return false;
    }

    bool replay_segment(const std::string& path, bool is_last) {
        path_ = &path;
        continues_previous_segment_ = false;
        is_stopped_ = false;
        const SegmentReadResult read = read_segment_file(
            path, [&](const SegmentHeader& header) { on_header(header); },
            [&](const Block& block) {
                is_stopped_ = !on_block(block);
                return !is_stopped_;
            });
        if (is_stopped_) return false;
        if (read.end == SegmentEnd::complete) return true;
        const std::string reason =
            path + ": " + name_of(read.end) + " at byte " + std::to_string(read.offset) + ": " + read.reason;
        // A segment whose writer was killed between two blocks has no damaged block, and the next segment
        // begins with its own state, so the replay continues there.
        if (read.end != SegmentEnd::open || is_last) return stop_incomplete(reason);
        result_.reason = reason;
        return true;
    }

    void on_header(const SegmentHeader& header) {
        continues_previous_segment_ = result_.segments > 0 && header.capture == previous_header_.capture &&
                                      header.segment == previous_header_.segment + 1;
        previous_header_ = header;
        ++result_.segments;
    }

    bool on_block(const Block& block) {
        if (block.kind == BlockKind::gap) return on_gap(block);
        try {
            return block.kind == BlockKind::state ? on_state(block.bytes) : on_frames(block.bytes);
        } catch (const ParseError& error) {
            return stop_incomplete(*path_ + ": " + error.what());
        }
    }

    bool on_gap(const Block& gap) {
        result_.missing_events += gap.count;
        continues_previous_segment_ = false;
        if (!policy_.is_restored()) return true;  // the replay begins with the next state
        return stop_incomplete(*path_ + ": a gap of " + std::to_string(gap.count) +
                               " events before this segment");
    }

    bool on_state(const std::string& state) {
        const bool is_comparable = continues_previous_segment_ && policy_.is_restored();
        if (is_comparable && policy_.state() != state)
            return stop_different(
                *path_ + ": the state at its head differs from the state that the previous segment ends in");
        policy_.restore(state);
        return true;
    }

    bool on_frames(const std::string& frames) {
        if (!policy_.is_restored()) throw ParseError("a block of frames comes before the first state");
        bool keep_going = true;
        for_each_frame(frames, [&](std::string_view frame) {
            keep_going = on_event(decode(frame));
            return keep_going;
        });
        return keep_going;
    }

    bool on_event(const RecordedEvent& event) {
        if (observer_.before_event && !observer_.before_event(policy_, event)) return false;
        if (result_.events == 0) result_.first = event.at;
        ++result_.events;
        result_.last = event.at;
        const std::vector<RecordedAction>& actions = policy_.deliver(event);
        result_.actions += actions.size();
        if (observer_.after_event && !observer_.after_event(event, actions)) return false;
        if (actions == event.actions) return true;
        return stop_different(*path_ + ": " + describe_difference(event, actions));
    }

    const ReplayObserver& observer_;
    ReplayResult result_;
    ReplayedPolicy policy_;
    SegmentHeader previous_header_;
    const std::string* path_ = nullptr;  // of the segment that is being replayed
    bool continues_previous_segment_ = false;
    bool is_stopped_ = false;
};

}  // namespace

ReplayResult replay(const std::vector<std::string>& paths, const ReplayObserver& observer) {
    return Replay(observer).run(paths);
}

}  // namespace headrouter::capture
