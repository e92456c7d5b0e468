/// The way of a request through the policy: deadline, retry rules, placement, then an attempt, the queue or
/// the answer to its client.
#pragma once
#include <variant>

#include "affinity/failover_table.h"
#include "base/pcg32.h"
#include "policy/attempt_result_recorder.h"
#include "policy/connection_tracker.h"
#include "policy/fair_shares.h"
#include "policy/gossip_coordinator.h"
#include "policy/placement.h"
#include "policy/policy_actions.h"
#include "policy/request_queue.h"
#include "policy/request_state.h"
#include "policy/server_loads.h"
#include "policy/server_table.h"
#include "policy/warmup_admission.h"
#include "retry/early_reset_rate.h"
#include "retry/retry_budget.h"

namespace headrouter {

/// What is done with a request now.
struct PickResult {
    /// Its next attempt goes to this server.
    struct Complete {
        ServerIndex server;
    };
    /// No server may take it: tried again while its deadline allows.
    struct Queue {};
    /// Its client may ask again, after `retry_after` where that is not zero.
    struct Reject {
        Duration retry_after;
    };
    /// It may have run, and must not run again.
    struct Fail {};

    std::variant<Complete, Queue, Reject, Fail> result;
};

/// Takes requests and the ends of their attempts. A request that still owes its client an answer after an
/// attempt goes through all steps again.
class RequestPipeline {
   public:
    /// All must outlive it.
    struct Parts {
        const PolicyConfig& config;
        ServerTable& servers;
        const ServerLoads& loads;
        const WarmupAdmission& warmup;
        FairShares& shares;
        const FailoverTable& failovers;
        const GossipCoordinator& gossip;
        Placement& placement;
        RetryBudget& retry_budget;
        EarlyResetRate& early_resets;
        AttemptResultRecorder& results;
        ConnectionTracker& connections;
        RequestTable& requests;
        RequestQueue& queue;
        PolicyActions& actions;
        Pcg32& random;
    };
    explicit RequestPipeline(const Parts&);

    /// Starts the request's next attempt, queues the request or answers it. An answered request is gone.
    void run(TimePoint now, RequestState&);
    /// Runs what was queued, when the queue's timer rings.
    void run_queued(TimePoint now);
    /// The attempt, which was pending or established, has ended, and its connection is no longer counted. The
    /// request is gone where that was final or its answer followed.
    void on_attempt_ended(TimePoint now, RequestState&, const AttemptEnd&);

   private:
    PickResult pick(TimePoint now, RequestState&);
    /// Whether a further attempt is allowed: by number, by the retry budget and by retry_policy.
    bool may_attempt(TimePoint now, const RequestState&);
    /// A server for the next attempt, see Placement.
    PickResult place(TimePoint now, RequestState&);
    /// The answer where nothing more is tried.
    PickResult give_up(const RequestState&);
    void dispatch(TimePoint now, RequestState&, ServerIndex server);

    /// A resumed stream goes to the server that still has its connection, also while that one drains.
    bool is_parked_at_server(TimePoint now, const RequestState&, const FailoverTable::Entry*) const;
    /// Whether to reject a reconnect because much of what is established is reset at once, see
    /// EarlyResetRate. Draws one number where the balancer is too small to see which servers hold.
    bool is_shed_as_reconnect(TimePoint now, const RequestState&, const FleetView&);
    /// How long the next attempt may take.
    Duration attempt_timeout(TimePoint now, const RequestState&);

    const PolicyConfig& config_;
    ServerTable& servers_;
    const ServerLoads& loads_;
    const WarmupAdmission& warmup_;
    FairShares& shares_;
    const FailoverTable& failovers_;
    const GossipCoordinator& gossip_;
    Placement& placement_;
    RetryBudget& retry_budget_;
    EarlyResetRate& early_resets_;
    AttemptResultRecorder& results_;
    ConnectionTracker& connections_;
    RequestTable& requests_;
    RequestQueue& queue_;
    PolicyActions& actions_;
    Pcg32& random_;
};

}  // namespace headrouter
