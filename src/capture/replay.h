/// \file
/// Replay of captures: the same policy, told the same events, must do the same.
#pragma once
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "capture/action_recorder.h"
#include "capture/policy_state.h"
#include "capture/recorded_event.h"
#include "capture/segment_reader.h"

namespace headrouter::capture {

/// A policy restored from a captured state; it carries nothing out.
class ReplayedPolicy {
   public:
    /// Throws ParseError where `state` is no policy's.
    void restore(std::string_view state);
    [[nodiscard]] bool is_restored() const { return policy_ != nullptr; }

    // What follows is for a restored policy only.
    [[nodiscard]] std::string state() const { return state_of(*policy_); }
    [[nodiscard]] BalancingPolicy& policy() { return *policy_; }
    /// What the policy does on the event; valid until the next one. Throws ParseError as capture::deliver().
    const std::vector<RecordedAction>& deliver(const RecordedEvent& event);

   private:
    ActionRecorder actions_;
    std::unique_ptr<BalancingPolicy> policy_;
};

struct ReplayResult {
    enum class Outcome {
        same,
        differs,    ///< an action, or the state at the head of a segment
        incomplete  ///< replayed as far as it goes: truncated, damaged, too new, or a gap
    };

    Outcome outcome = Outcome::same;
    uint64_t events = 0;
    uint64_t actions = 0;
    uint64_t segments = 0;
    uint64_t missing_events = 0;  ///< in gaps
    TimePoint first;              ///< when the first event happened
    TimePoint last;
    std::string reason;  ///< the first difference with the event before it, or where the capture ended
};

/// Sees the events of a replay; each function may be empty, and ends the replay by returning false.
struct ReplayObserver {
    /// Before the policy is told of the event.
    std::function<bool(ReplayedPolicy&, const RecordedEvent&)> before_event;
    /// With what this build's policy did on it.
    std::function<bool(const RecordedEvent&, const std::vector<RecordedAction>&)> after_event;
};

/// Replays segments one after the other, until an action differs. Throws std::system_error where a file
/// cannot be read.
[[nodiscard]] ReplayResult replay(const std::vector<std::string>& paths, const ReplayObserver& observer = {});

/// read_segment() of a file. Throws std::system_error where it cannot be read.
SegmentReadResult read_segment_file(const std::string& path,
                                    const std::function<void(const SegmentHeader&)>& on_header,
                                    const std::function<bool(const Block&)>& on_block);

}  // namespace headrouter::capture
