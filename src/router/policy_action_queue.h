/// Decouples the policy's decisions from carrying them out.
#pragma once
#include <deque>
#include <functional>
#include <string>
#include <variant>

#include "policy/balancing_policy.h"
#include "router/gossip_interface.h"

namespace headrouter {

/// What the policy decided about one request.
struct StartAttemptAction {
    RequestId request_id;
    ServerId server;
    Duration timeout;  ///< zero where only the request's deadline counts
};
struct RejectAction {
    RequestId request_id;
    Duration retry_after;
};
struct FailAction {
    RequestId request_id;
};
struct MigrateAction {
    RequestId request_id;
};
using PendingAction = std::variant<StartAttemptAction, RejectAction, FailAction, MigrateAction>;

/// Carries out actions; what follows from one may be reported to the policy before it returns.
class PendingActionHandler {
   public:
    virtual ~PendingActionHandler() = default;
    virtual void perform(const StartAttemptAction&) = 0;
    virtual void perform(const RejectAction&) = 0;
    virtual void perform(const FailAction&) = 0;
    virtual void perform(const MigrateAction&) = 0;
};

/// Queues the policy's actions on requests while it handles an event, and has them performed afterwards: an
/// action may cause the next event, and the policy is told one at a time. Timers and gossip have no such
/// effect and pass directly.
class PolicyActionQueue : public PolicyActions {
   public:
    using SetTimer = std::function<void(TimePoint, uint64_t token)>;

    PolicyActionQueue(PendingActionHandler& handler, SetTimer set_timer)
        : handler_(handler), set_timer_(std::move(set_timer)) {}

    /// Where gossip goes; without this it is dropped.
    void set_gossip(GossipInterface& gossip) { gossip_ = &gossip; }

    /// Performs the queued actions, those that follow from them included. Does nothing inside of itself.
    void perform_all();

    void clear() { actions_.clear(); }

    void start_attempt(RequestId, const ServerId&, Duration timeout) override;
    void reject(RequestId, Duration retry_after) override;
    void fail(RequestId) override;
    void migrate(RequestId) override;
    void set_timer(TimePoint, uint64_t token) override;
    void watch_endpoints() override {}  // the endpoints are watched all the time
    void send_gossip(int replica_index, const std::string& bytes) override;

   private:
    PendingActionHandler& handler_;
    SetTimer set_timer_;
    GossipInterface* gossip_ = nullptr;
    std::deque<PendingAction> actions_;
    bool performing_ = false;
};

}  // namespace headrouter
