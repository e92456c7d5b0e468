// The policy: every decision of one balancer. The ordinary path of a request is the pipeline check_deadline,
// check_retry, place, dispatch. The result of an attempt goes the other way, and if the client still waits
// for an answer the request starts through the pipeline again. docs/design.md says which lines follow the
// design, which extend it, and when each extension acts.
#pragma once
#include <array>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "affinity/failover_table.h"
#include "affinity/group_table.h"
#include "base/pcg32.h"
#include "base/time.h"
#include "policy/endpoint_tracker.h"
#include "policy/fair_shares.h"
#include "policy/gossip_coordinator.h"
#include "policy/placement.h"
#include "policy/policy_actions.h"
#include "policy/policy_config.h"
#include "policy/rebalance_cycle.h"
#include "policy/rendezvous_rankings.h"
#include "policy/request_state.h"
#include "policy/retry_policy.h"
#include "policy/server_table.h"
#include "policy/types.h"
#include "retry/early_reset_rate.h"
#include "retry/retry_budget.h"

namespace headrouter {

/// The policy of one balancer. Its host reports each event in the order in which it happens and carries out
/// the actions that the policy answers with, through PolicyActions. The policy reads no clock and no input of
/// its own, so the same seed and the same events give the same actions, and any protocol may be put before
/// it. Not thread-safe: one event at a time.
class BalancingPolicy {
   public:
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

    const PolicyConfig& config() const { return config_; }
    bool has_server(const ServerId& id) const { return servers_.find(id) >= 0; }
    /// Listed servers that would get no new connection now.
    int count_unselectable(TimePoint now) const { return servers_.count_unselectable(now); }

   private:
    friend struct Peek;         // the tests build states directly
    friend struct StateAccess;  // a capture keeps the whole state, and restores it
    // How long a queued request waits until it is looked at again.
    static constexpr Duration queue_interval = millis(20);
    // The time-out of an attempt while another could follow: a part of the setup objective, but not more
    // than a part of the time that is left.
    static constexpr double timeout_of_objective = 0.6, timeout_of_time_left = 0.5;
    // The surplus of a slow server is migrated off within this time.
    static constexpr Duration slow_server_drain = seconds(0.8);

    /// What a stage of the pipeline says of a request.
    enum class Verdict { next_stage, queue, give_up };
    /// How an attempt ended, for the stages on the way back.
    struct AttemptResult {
        int attempt;
        AttemptOutcome outcome;
        bool is_final, was_established;
    };
    struct Stage {
        Verdict (BalancingPolicy::*on_request)(TimePoint, RequestState&);
        void (BalancingPolicy::*on_result)(TimePoint, RequestState&, const AttemptResult&);
    };
    static const std::array<Stage, 4> pipeline_;

    void run_pipeline(TimePoint, RequestState&);
    Verdict check_deadline(TimePoint, RequestState&);
    Verdict check_retry(TimePoint, RequestState&);
    Verdict place(TimePoint, RequestState&);
    Verdict dispatch(TimePoint, RequestState&);
    // NOLINTNEXTLINE(readability-convert-member-functions-to-static): a stage is a pointer to a member.
    void on_dispatch_result(TimePoint, RequestState& request, const AttemptResult& result) {
        Attempt& attempt = request.attempts[result.attempt];
        attempt.pending = false;
        attempt.established = false;
    }
    void on_place_result(TimePoint, RequestState&, const AttemptResult&);
    // NOLINTNEXTLINE(readability-convert-member-functions-to-static): a stage is a pointer to a member.
    void on_check_retry_result(TimePoint, RequestState& request, const AttemptResult& result) {
        if (!retry_policy::never_ran(result.outcome) && !request.may_have_run)
            request.may_have_run = result.attempt;
    }
    void on_check_deadline_result(TimePoint, RequestState& request, const AttemptResult& result) {
        if (result.is_final) forget(request.id);
    }
    /// A resumed stream goes to the server that still has its connection, also while that one drains.
    bool is_parked_at_server(TimePoint, const RequestState&, const FailoverTable::Entry*) const;
    Duration attempt_timeout(TimePoint, const RequestState&);
    /// The answer comes at once when nothing more is tried: a reject where the rules let it, else a failure.
    void give_up(RequestState&);
    /// Queued only as long as the next look at it still comes before its deadline.
    void queue(TimePoint, RequestState&);
    void retry_queued(TimePoint);

    /// The request, if it has such an attempt; else null.
    RequestState* find_request(RequestId id, int attempt) {
        const auto it = requests_.find(id);
        if (it == requests_.end()) return nullptr;
        const bool has_attempt = attempt >= 0 && attempt < static_cast<int>(it->second.attempts.size());
        return has_attempt ? &it->second : nullptr;
    }
    /// The record of a request that has arrived.
    RequestState& keep(Request);
    void forget(RequestId id) { requests_.erase(id); }
    void add_connection(int server, RequestState& request) {
        servers_.add_connection(server, request);
        if (!request.group.empty()) groups_.add(request.group, server);
    }
    void remove_connection(RequestState&);
    void migrate(RequestState& request) {
        actions_.migrate(request.id);
        remove_connection(request);
        forget(request.id);
    }
    void migrate_next(TimePoint, int server);
    /// Returns the server's index.
    int apply_endpoint(TimePoint, const Endpoint&);
    /// A new process under an old id has none of the old one's connections.
    void replace_process(int server);

    PolicyConfig config_;
    PolicyActions& actions_;
    Pcg32 random_;
    RequestTable requests_;
    std::deque<RequestId> queued_;
    bool has_queue_timer_ = false;
    Duration message_objective_;  // the shortest of any request class
    RetryBudget retry_budget_;
    EarlyResetRate early_resets_;

    ServerTable servers_{config_};
    FairShares shares_{config_, servers_};
    FailoverTable failovers_;
    GroupTable groups_;
    RendezvousRankings rankings_;
    EndpointTracker endpoints_{config_, actions_, random_};
    GossipCoordinator gossip_{{config_, servers_, rankings_, actions_, random_}};
    Placement placement_{{config_, servers_, shares_, groups_, rankings_, gossip_, random_}};
    RebalanceCycle rebalance_{{servers_, shares_, groups_, requests_, actions_, random_}};
};

}  // namespace headrouter
