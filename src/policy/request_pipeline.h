/// Takes a request through the steps of the policy: deadline, retry rules, placement, then an attempt, the
/// queue or the answer to its client.
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

/// The next step for a request.
struct PickResult {
    /// The next attempt goes to this server.
    struct Complete {
        ServerIndex server;
    };
    /// No server may take the request: it waits and is tried again while its deadline allows.
    struct Queue {};
    /// The client may retry, after `retry_after` unless that is zero.
    struct Reject {
        Duration retry_after;
    };
    /// The request may have run and must not run again.
    struct Fail {};

    std::variant<Complete, Queue, Reject, Fail> result;
};

/// Handles requests and the ends of their attempts. A request whose client has no answer after an attempt
/// goes through all steps again.
class RequestPipeline {
   public:
    /// Dependencies, which must outlive the pipeline.
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

    /// Starts the request's next attempt, queues the request or answers it. An answered request is removed
    /// from the request table.
    void run(TimePoint now, RequestState&);
    /// Runs the queued requests when the queue's timer expires.
    void run_queued(TimePoint now);
    /// Handles the end of a pending or established attempt whose connection is no longer counted. The request
    /// is removed if that end was final or if the request is answered now.
    void on_attempt_ended(TimePoint now, RequestState&, const AttemptEnd&);
    /// Returns the time within which the latest attempt of the request has to be sent: nothing if there is no
    /// limit, zero or less if it may not be sent any more. The window of a retry goes on while its connection
    /// is set up, so this holds at the moment of sending and not only when the attempt is placed.
    [[nodiscard]] std::optional<Duration> time_left_to_send(TimePoint now, const RequestState&) const;

   private:
    /// Decides the next step for the request.
    PickResult pick(TimePoint now, RequestState&);
    /// Returns whether the number of attempts, the retry budget and retry_policy allow a further attempt.
    bool may_attempt(TimePoint now, const RequestState&);
    /// Chooses a server for the next attempt, see Placement.
    PickResult place(TimePoint now, RequestState&);
    /// Returns the answer if no further attempt follows.
    PickResult give_up(const RequestState&);
    /// Starts the request's next attempt at the server.
    void dispatch(TimePoint now, RequestState&, ServerIndex server);

    /// Returns whether the request resumes a stream whose server still has its connection. The request then
    /// goes to that server, even if it is draining.
    bool is_parked_at_server(TimePoint now, const RequestState&, const FailoverTable::Entry*) const;
    /// Returns whether to reject a reconnect because many new connections are reset soon after they are
    /// established, see EarlyResetRate. Rejects, and draws a random number, only where this balancer has less
    /// than one mean connection for each server and so cannot see which servers keep theirs.
    bool is_shed_as_reconnect(TimePoint now, const RequestState&, const FleetView&);
    /// Returns how long the next attempt may take.
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
