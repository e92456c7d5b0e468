#include "router/policy_action_queue.h"

#include <utility>

namespace headrouter {

void PolicyActionQueue::perform_all() {
    if (performing_) return;
    performing_ = true;
    while (!actions_.empty()) {
        const PendingAction action = std::move(actions_.front());
        actions_.pop_front();
        std::visit([this](const auto& typed_action) { handler_.perform(typed_action); }, action);
    }
    performing_ = false;
}

void PolicyActionQueue::start_attempt(RequestId id, const ServerId& server, Duration timeout) {
    actions_.emplace_back(StartAttemptAction{id, server, timeout});
}

void PolicyActionQueue::reject(RequestId id, Duration retry_after) {
    actions_.emplace_back(RejectAction{id, retry_after});
}

void PolicyActionQueue::fail(RequestId id) { actions_.emplace_back(FailAction{id}); }

void PolicyActionQueue::migrate(RequestId id) { actions_.emplace_back(MigrateAction{id}); }

void PolicyActionQueue::set_timer(TimePoint at, uint64_t token) { set_timer_(at, token); }

void PolicyActionQueue::send_gossip(int replica_index, const std::string& bytes) {
    if (gossip_) gossip_->publish(replica_index, bytes);
}

}  // namespace headrouter
