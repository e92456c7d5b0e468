/// Decides the placement, retries and migrations of one balancer. This file passes each event to the class
/// that decides on it: RequestPipeline (requests and their attempts), EndpointUpdater and EndpointTracker
/// (the endpoint list), RebalanceCycle (migrations), GossipCoordinator (other balancers).
/// docs/architecture.md lists the file of each rule.
#pragma once
#include <cstdint>
#include <string>
#include <vector>

#include "affinity/failover_table.h"
#include "affinity/group_table.h"
#include "base/pcg32.h"
#include "base/time.h"
#include "policy/attempt_result_recorder.h"
#include "policy/connection_tracker.h"
#include "policy/degraded_servers.h"
#include "policy/eligibility.h"
#include "policy/endpoint_tracker.h"
#include "policy/endpoint_updater.h"
#include "policy/fair_shares.h"
#include "policy/gossip_coordinator.h"
#include "policy/placement.h"
#include "policy/policy_actions.h"
#include "policy/policy_config.h"
#include "policy/rebalance_cycle.h"
#include "policy/rendezvous_rankings.h"
#include "policy/request_pipeline.h"
#include "policy/request_queue.h"
#include "policy/request_state.h"
#include "policy/server_health.h"
#include "policy/server_loads.h"
#include "policy/server_table.h"
#include "policy/types.h"
#include "policy/warmup_admission.h"
#include "retry/early_reset_rate.h"
#include "retry/retry_budget.h"

namespace headrouter {

/// Decides on the requests and connections of one balancer. The host reports events in the order in which
/// they happen and carries out the resulting actions, which the policy requests through PolicyActions. The
/// policy reads neither a clock nor any other input, so that the same seed and the same events give the same
/// actions, and the policy works with any protocol. Not thread-safe: the host reports one event at a time.
class BalancingPolicy {
   public:
    /// Everything that the policy keeps between events.
    struct State {
        PolicyConfig config;
        Pcg32::State random;
        RequestTable requests;
        Duration message_objective;  ///< the shortest message objective of any request class
        RetryBudget::State retry_budget;
        EarlyResetRate::State early_resets;
        ServerTable::State servers;
        ServerLoads::State loads;
        WarmupAdmission::State warmup;
        DegradedServers::State degraded;
        FailoverTable::State failovers;
        GroupTable::State groups;
        RendezvousRankings::State rankings;
        EndpointTracker::State endpoints;
        GossipCoordinator::State gossip;
        RequestQueue::State queue;
    };

    /// Internals of the policy, for diagnostics and tests. A balancer uses only the event functions.
    struct Parts {
        RequestTable& requests;
        ServerTable& servers;
        const ServerLoads& loads;
        const WarmupAdmission& warmup;
        ServerHealth& health;
        FairShares& shares;
        FailoverTable& failovers;
        const GossipCoordinator& gossip;
        const Placement& placement;
        RebalanceCycle& rebalance;
    };

    /// Sets the first timers through `actions`, which must outlive the policy.
    BalancingPolicy(PolicyConfig, uint64_t seed, PolicyActions& actions, TimePoint now);
    BalancingPolicy(const BalancingPolicy&) = delete;
    BalancingPolicy& operator=(const BalancingPolicy&) = delete;
    BalancingPolicy(BalancingPolicy&&) = delete;
    BalancingPolicy& operator=(BalancingPolicy&&) = delete;
    ~BalancingPolicy() = default;

    /// Handles a new request. Its id must not be in use, and its type must be a configured request class.
    void on_request(TimePoint, Request);
    /// Takes over a connection that another process established to the given server.
    void on_request_adopted(TimePoint, Request, const ServerId&);
    /// Forgets a request that ended for a reason other than its attempt, as when its client disconnects. Like
    /// every event of a request, it has no effect if the id is unknown.
    void on_client_gone(TimePoint, RequestId);
    /// Records that the server accepted attempt `number` (from 0), `took` after the attempt was started.
    void on_attempt_established(TimePoint, RequestId, int number, Duration took);
    /// Handles the end of an attempt. `is_final`: the outcome was the answer to the client, so no further
    /// attempt follows.
    void on_attempt_ended(TimePoint, RequestId, int number, AttemptOutcome, Duration took, bool is_final,
                          const LoadReport&);
    /// Records the load of an established request on its server, in microseconds of work a second.
    void on_load_report(TimePoint, RequestId, double micros_a_second);
    /// Records the latency of a server's latest message, in milliseconds. No effect if has_server() is false.
    void on_latency_report(TimePoint, const ServerId&, double millis);
    /// Applies an update of the endpoint list, or records that the list is unavailable.
    void on_endpoints(TimePoint, EndpointUpdateKind, const std::vector<Endpoint>&);
    /// Applies a new configuration. It must have the same request classes at the same indexes, and may add
    /// further ones. The replica index does not change.
    void reconfigure(PolicyConfig);
    /// Handles a timer that PolicyActions::set_timer requested. Unknown tokens have no effect.
    void on_timer(TimePoint, uint64_t token);
    /// Handles a gossip message of another replica. Returns false, without effect, if it cannot be decoded.
    bool on_gossip(TimePoint now, int replica, const std::string& bytes) {
        return gossip_.on_message(now, replica, bytes);
    }

    [[nodiscard]] State state() const;
    /// Makes this policy decide as the one whose state it is given. Timers are not part of the state.
    void restore(State);

    Parts parts() {
        return {requests_, servers_,   loads_,  warmup_,    health_,
                shares_,   failovers_, gossip_, placement_, rebalance_};
    }

    const PolicyConfig& config() const { return config_; }
    bool has_server(const ServerId& id) const { return servers_.find(id).has_value(); }
    /// Returns the time within which the request's latest attempt has to be sent: nothing if there is no
    /// limit, zero or less if it may not be sent, as when the request is unknown.
    [[nodiscard]] std::optional<Duration> time_left_to_send(TimePoint, RequestId) const;
    /// Returns the number of servers in the endpoint list that would get no new attempt now.
    int count_unselectable(TimePoint now) const { return eligibility::count_unselectable(now, servers_); }

   private:
    /// Time within which the surplus load found by a latency report is migrated off its server.
    static constexpr Duration slow_server_drain = seconds(0.8);

    /// Returns the request if it has an attempt of that number, else null.
    RequestState* find_request(RequestId, int attempt);
    /// Adds a new request to the request table.
    RequestState& add_request(Request);
    void migrate_next(TimePoint, ServerIndex server);

    PolicyConfig config_;
    PolicyActions& actions_;
    Pcg32 random_;
    RequestTable requests_;
    Duration message_objective_;  // the shortest message objective of any request class
    RetryBudget retry_budget_;
    EarlyResetRate early_resets_;

    ServerTable servers_{config_};
    ServerLoads loads_{config_, servers_};
    WarmupAdmission warmup_{config_, servers_, loads_};
    DegradedServers degraded_{servers_, loads_, warmup_};
    ServerHealth health_{servers_, loads_, degraded_};
    FairShares shares_{{config_, servers_, loads_, warmup_, degraded_}};
    FailoverTable failovers_;
    GroupTable groups_;
    RendezvousRankings rankings_;
    EndpointTracker endpoints_{config_, actions_, random_};
    GossipCoordinator gossip_{{config_, servers_, loads_, rankings_, actions_, random_}};
    Placement placement_{{config_, servers_, loads_, warmup_, shares_, groups_, rankings_, gossip_, random_}};
    RebalanceCycle rebalance_{
        {servers_, loads_, warmup_, degraded_, shares_, groups_, requests_, actions_, random_}};
    ConnectionTracker connections_{{loads_, groups_, requests_, actions_}};
    EndpointUpdater endpoint_updater_{
        {config_, servers_, warmup_, health_, gossip_, connections_, requests_}};
    RequestQueue queue_{config_, actions_};
    AttemptResultRecorder results_{{config_, servers_, health_, failovers_, early_resets_}};
    RequestPipeline pipeline_{{config_, servers_, loads_, warmup_, shares_, failovers_, gossip_, placement_,
                               retry_budget_, early_resets_, results_, connections_, requests_, queue_,
                               actions_, random_}};
};

}  // namespace headrouter
