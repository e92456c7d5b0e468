/// \file
/// Replays captures: the policy must answer the recorded events with the recorded actions.
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

/// Holds a policy restored from a captured state. The policy's actions are collected, not executed.
class ReplayedPolicy {
   public:
    /// Restores the policy. Throws ParseError if `state` is not a valid policy state.
    void restore(std::string_view state);
    [[nodiscard]] bool is_restored() const { return policy_ != nullptr; }

    // The functions below require a restored policy.
    [[nodiscard]] std::string state() const { return state_of(*policy_); }
    [[nodiscard]] BalancingPolicy& policy() { return *policy_; }
    /// Delivers the event and returns the policy's actions, which are valid until the next call. Throws
    /// ParseError under the same conditions as capture::deliver().
    const std::vector<RecordedAction>& deliver(const RecordedEvent& event);

   private:
    ActionRecorder actions_;
    std::unique_ptr<BalancingPolicy> policy_;
};

/// Outcome and counts of a replay.
struct ReplayResult {
    enum class Outcome {
        same,
        differs,    ///< an action, or the state at the start of a segment, is not the recorded one
        incomplete  ///< stopped early: no segment, truncated, damaged, too new, invalid, or a gap
    };

    Outcome outcome = Outcome::same;
    uint64_t events = 0;
    uint64_t actions = 0;
    uint64_t segments = 0;
    uint64_t missing_events = 0;  ///< lost in gaps
    TimePoint first;              ///< when the first event happened
    TimePoint last;
    std::string reason;  ///< first difference with its event, or where the capture ended
};

/// Callbacks on the events of a replay. Each may be empty, and ends the replay by returning false.
struct ReplayObserver {
    /// Called before the event is delivered to the policy.
    std::function<bool(ReplayedPolicy&, const RecordedEvent&)> before_event;
    /// Called with the actions that this build's policy took on the event.
    std::function<bool(const RecordedEvent&, const std::vector<RecordedAction>&)> after_event;
};

/// Replays segments in order, until an action differs. Throws std::system_error if a file cannot be read.
[[nodiscard]] ReplayResult replay(const std::vector<std::string>& paths, const ReplayObserver& observer = {});

/// Calls read_segment() on a file. Throws std::system_error if the file cannot be read.
SegmentReadResult read_segment_file(const std::string& path,
                                    const std::function<void(const SegmentHeader&)>& on_header,
                                    const std::function<bool(const Block&)>& on_block);

}  // namespace headrouter::capture
