/// \file
/// Collects the policy's actions as values.
#pragma once
#include <string>
#include <utility>
#include <vector>

#include "capture/recorded_event.h"

namespace headrouter::capture {

/// Collects the actions that the policy requests, in order, without executing them.
class ActionRecorder : public PolicyActions {
   public:
    [[nodiscard]] const std::vector<RecordedAction>& actions() const { return actions_; }
    [[nodiscard]] std::vector<RecordedAction> take_actions() { return std::exchange(actions_, {}); }
    void clear() { actions_.clear(); }

    void start_attempt(RequestId id, const ServerId& server, Duration timeout) override {
        actions_.push_back({RecordedAction::Kind::start_attempt, id, server, timeout});
    }
    void reject(RequestId id, Duration retry_after) override {
        actions_.push_back({RecordedAction::Kind::reject, id, {}, retry_after});
    }
    void fail(RequestId id) override { actions_.push_back({RecordedAction::Kind::fail, id}); }
    void migrate(RequestId id) override { actions_.push_back({RecordedAction::Kind::migrate, id}); }
    void set_timer(TimePoint at, uint64_t token) override {
        actions_.push_back({RecordedAction::Kind::set_timer, 0, {}, {}, at, token});
    }
    void watch_endpoints() override { actions_.push_back({RecordedAction::Kind::watch_endpoints}); }
    void send_gossip(int replica_index, const std::string& bytes) override {
        actions_.push_back({RecordedAction::Kind::send_gossip, 0, {}, {}, {}, 0, replica_index, bytes});
    }

   private:
    std::vector<RecordedAction> actions_;
};

}  // namespace headrouter::capture
