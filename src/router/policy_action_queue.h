/// Queues the policy's decisions until they can be performed.
#pragma once
#include <deque>
#include <functional>
#include <string>
#include <variant>

#include "policy/balancing_policy.h"
#include "router/gossip_interface.h"

namespace headrouter {

/// Decision of the policy to start an attempt for a request.
struct StartAttemptAction {
    RequestId request_id;
    ServerId server;
    Duration timeout;  ///< zero if only the request's deadline limits the attempt
};
/// Decision of the policy to answer a request with BUSY.
struct RejectAction {
    RequestId request_id;
    Duration retry_after;
};
/// Decision of the policy to answer a request with ERR.
struct FailAction {
    RequestId request_id;
};
/// Decision of the policy to migrate an established request: its client gets MOVE and reconnects.
struct MigrateAction {
    RequestId request_id;
};
using PendingAction = std::variant<StartAttemptAction, RejectAction, FailAction, MigrateAction>;

/// Performs actions. An action may report its consequences to the policy before `perform` returns.
class PendingActionHandler {
   public:
    virtual ~PendingActionHandler() = default;
    virtual void perform(const StartAttemptAction&) = 0;
    virtual void perform(const RejectAction&) = 0;
    virtual void perform(const FailAction&) = 0;
    virtual void perform(const MigrateAction&) = 0;
};

/// Queues the policy's actions on requests while the policy handles an event, and performs them afterwards:
/// an action may cause another event, and the policy must not receive an event while it handles one. Timers
/// and gossip cause no event at once and are passed on directly.
class PolicyActionQueue : public PolicyActions {
   public:
    using SetTimer = std::function<void(TimePoint, uint64_t token)>;

    PolicyActionQueue(PendingActionHandler& handler, SetTimer set_timer)
        : handler_(handler), set_timer_(std::move(set_timer)) {}

    /// Sets the receiver of gossip. Gossip is dropped until this is called.
    void set_gossip(GossipInterface& gossip) { gossip_ = &gossip; }

    /// Performs the queued actions and those that are queued meanwhile. A nested call does nothing.
    void perform_all();

    void clear() { actions_.clear(); }

    void start_attempt(RequestId, const ServerId&, Duration timeout) override;
    void reject(RequestId, Duration retry_after) override;
    void fail(RequestId) override;
    void migrate(RequestId) override;
    void set_timer(TimePoint, uint64_t token) override;
    void watch_endpoints() override {}  // the endpoints are always watched
    void send_gossip(int replica_index, const std::string& bytes) override;

   private:
    PendingActionHandler& handler_;
    SetTimer set_timer_;
    GossipInterface* gossip_ = nullptr;
    std::deque<PendingAction> actions_;
    bool performing_ = false;
};

}  // namespace headrouter
