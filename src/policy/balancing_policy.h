/// The policy: every decision of one balancer. This file routes its events to the parts that decide:
/// RequestPipeline (requests and their attempts), EndpointUpdater and EndpointTracker (the endpoint list),
/// RebalanceCycle (migrations), GossipCoordinator (other balancers). docs/architecture.md names the file of
/// each rule.
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

/// The policy of one balancer. Its host reports each event in the order in which it happens and carries out
/// the actions that the policy answers with, through PolicyActions. The policy reads no clock and no input of
/// its own, so the same seed and the same events give the same actions, and any protocol may be put before
/// it. Not thread-safe: one event at a time.
class BalancingPolicy {
   public:
    /// All that the policy keeps from one event to the next.
    struct State {
        PolicyConfig config;
        Pcg32::State random;
        RequestTable requests;
        Duration message_objective;  ///< the shortest of any request class
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

    /// Parts of the policy, for explanations and tests. A balancer uses events only.
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

    /// `actions` must outlive the policy; its first timers are set from here.
    BalancingPolicy(PolicyConfig, uint64_t seed, PolicyActions& actions, TimePoint now);
    BalancingPolicy(const BalancingPolicy&) = delete;
    BalancingPolicy& operator=(const BalancingPolicy&) = delete;
    BalancingPolicy(BalancingPolicy&&) = delete;
    BalancingPolicy& operator=(BalancingPolicy&&) = delete;
    ~BalancingPolicy() = default;

    /// A client's request arrived. Its id must not be in use, its type must be a configured request class.
    void on_request(TimePoint, Request);
    /// A connection established by another process is now this balancer's.
    void on_request_adopted(TimePoint, Request, const ServerId&);
    /// The client is gone, and with it its request. No effect for an unknown id, as in all events of
    /// requests.
    void on_client_gone(TimePoint, RequestId);
    /// The server accepted the attempt of that number (from 0); `took` from its start.
    void on_attempt_established(TimePoint, RequestId, int number, Duration took);
    /// The attempt ended. `is_final`: its outcome was the answer to the client, so nothing more is tried.
    void on_attempt_ended(TimePoint, RequestId, int number, AttemptOutcome, Duration took, bool is_final,
                          const LoadReport&);
    /// What the established request costs its server, in microseconds of work a second.
    void on_load_report(TimePoint, RequestId, double micros_a_second);
    /// How long a message last took at a server, in milliseconds. has_server() must be true of it.
    void on_latency_report(TimePoint, const ServerId&, double millis);
    /// An update of the endpoint list, or that there is none for now.
    void on_endpoints(TimePoint, EndpointUpdateKind, const std::vector<Endpoint>&);
    /// The same request classes in the same places; more may follow. The replica index stays as it was.
    void reconfigure(PolicyConfig);
    /// A timer that PolicyActions::set_timer asked for. Unknown tokens have no effect.
    void on_timer(TimePoint, uint64_t token);
    /// A message of another replica. False where it is not understood; nothing is done then.
    bool on_gossip(TimePoint now, int replica, const std::string& bytes) {
        return gossip_.on_message(now, replica, bytes);
    }

    [[nodiscard]] State state() const;
    /// A policy decides as the one whose state it has. Timers are not part of it.
    void restore(State);

    Parts parts() {
        return {requests_, servers_,   loads_,  warmup_,    health_,
                shares_,   failovers_, gossip_, placement_, rebalance_};
    }

    const PolicyConfig& config() const { return config_; }
    bool has_server(const ServerId& id) const { return servers_.find(id).has_value(); }
    /// Listed servers that would get no new connection now.
    int count_unselectable(TimePoint now) const { return eligibility::count_unselectable(now, servers_); }

   private:
    /// What a latency report says is too much for a server is migrated off within this time.
    static constexpr Duration slow_server_drain = seconds(0.8);

    /// The request, if it has such an attempt; else null.
    RequestState* find_request(RequestId, int attempt);
    /// Begins the record of a request that has arrived.
    RequestState& add_request(Request);
    void migrate_next(TimePoint, ServerIndex server);

    PolicyConfig config_;
    PolicyActions& actions_;
    Pcg32 random_;
    RequestTable requests_;
    Duration message_objective_;  // the shortest of any request class
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
