// How the policy's types are written and read: those that its events carry, and a whole BalancingPolicy.
#pragma once
#include <functional>
#include <string>

#include "base/hash.h"
#include "capture/archive.h"
#include "capture/component_visits.h"
#include "policy/balancing_policy.h"

namespace headrouter {

struct StateAccess : ComponentStateAccess {
    using ComponentStateAccess::visit_state;
    template <class A>
    static void visit_state(A&, BalancingPolicy&);
    template <class A>
    static void visit_first_form(A&, BalancingPolicy&);
    template <class A>
    static void visit_gossip(A&, BalancingPolicy&);
    template <class A>
    static void visit_server(A&, ServerState&);

    static bool holds(const BalancingPolicy& b, RequestId id) { return b.requests_.contains(id); }
    static const RequestState& request(const BalancingPolicy& b, RequestId id) { return b.requests_.at(id); }
    static std::string fleet_in_words(BalancingPolicy&, TimePoint, const RequestState&);      // explain.cpp
    static void hide_names(BalancingPolicy&, const std::function<void(std::string&)>& hide);  // edit.cpp
};

namespace capture {

template <class A>
void visit(A& a, RequestClass& t) {
    visit(a, t.idempotency);
    visit(a, t.dedup_scope);
    visit(a, t.setup_objective);
    visit(a, t.deadline);
    visit(a, t.dedup_window);
    visit(a, t.message_objective);
}

template <class A>
void visit(A& a, PolicyConfig& d) {
    visit(a, d.request_classes);
    visit(a, d.tenants);
    visit(a, d.max_attempts);
    visit(a, d.replica_index);
    visit(a, d.zone);
    visit(a, d.cross_zone_cost);
    visit(a, d.polls_endpoints);
    visit(a, d.passthrough);
    visit(a, d.groups);
    visit(a, d.advises_retry_after);
    visit(a, d.park);
    visit(a, d.max_retry_after);
    visit(a, d.step);
    visit(a, d.slow_start_time);
}

// What came to be told later stands behind all else, where an older capture just ends.
template <class A>
void visit_later(A& a, PolicyConfig& d) {
    if constexpr (!A::writes)
        if (a.left() == 0) return;
    visit(a, d.replica_count);
    visit(a, d.gossip_enabled);
    visit(a, d.overload_multiple);
    visit(a, d.wall_clock_offset);
}

// And later still.
template <class A>
void visit_latest(A& a, PolicyConfig& d) {
    if constexpr (!A::writes)
        if (a.left() == 0) return;
    visit(a, d.subset_order);
    visit(a, d.aggregates_fleet_load);
}

template <class A>
void visit(A& a, Endpoint& l) {
    visit(a, l.server);
    visit(a, l.weight);
    visit(a, l.state);
    visit(a, l.zone);
    visit(a, l.cell);
    visit(a, l.launched);
}

template <class A>
void visit(A& a, Attempt& l) {
    visit(a, l.server);
    visit(a, l.sent);
    visit(a, l.pending);
    visit(a, l.established);
}

// A request as asked for and the policy's record of it, in the order that captures hold.
template <class A>
void visit(A& a, RequestState& request) {
    visit(a, request.id);
    visit(a, request.type);
    visit(a, request.tenant);
    visit(a, request.is_reconnect);
    visit(a, request.mid_stream);
    visit(a, request.key);
    visit(a, request.group);
    visit(a, request.hinted_load);
    visit(a, request.deadline);
    visit(a, request.attempts);
    visit_negative_for_none(a, request.may_have_run);
    visit_negative_for_none(a, request.chosen_server);
    visit_negative_for_none(a, request.connection_index);
    visit_negative_for_none(a, request.load);
    visit(a, request.is_protected);
    visit(a, request.queued);
    bool unused = false;  // a field of earlier versions
    visit(a, unused);
}

// An event's request has the same form, with a record that is still empty.
template <class A>
void visit(A& a, Request& request) {
    RequestState state(request);
    visit(a, state);
    if constexpr (!A::writes) request = std::move(state);
}

template <class A>
void visit(A& a, LoadReport& r) {
    visit(a, r.load_share);
}

template <class A>
void visit(A& a, ConnectionLoad& load) {
    visit(a, load.unreported);
    visit(a, load.reported);
}

template <class A>
void visit(A& a, GroupTable::Members& members) {
    visit(a, members.server);
    visit(a, members.count);
}

template <class A>
void visit(A& a, FailoverTable::Entry& entry) {
    visit(a, entry.server);
    visit(a, entry.at);
    visit(a, entry.is_parked);
}

}  // namespace capture

template <class A>
void StateAccess::visit_server(A& a, ServerState& server) {
    using capture::visit;
    OutlierDetector& outliers = server.outliers;
    LoadLimit& limit = server.load_limit;
    SurplusDrain& drain = server.drain;
    visit(a, server.endpoint);
    visit(a, server.weight);
    visit(a, server.slow_start.is_restart_expected_);
    visit(a, server.slow_start.started_);
    visit(a, server.connections);
    visit(a, server.load);
    capture::visit_negative_for_none(a, server.degraded_index);
    capture::visit_negative_for_none(a, server.named_in_update);
    visit(a, server.pending_attempts);
    visit(a, server.protected_connections);
    visit(a, outliers.failure_penalty_);
    visit(a, outliers.penalty_at_);
    visit(a, outliers.consecutive_failures_);
    visit(a, outliers.backoff_until_);
    visit(a, outliers.ejected_until_);
    visit(a, limit.reported_at_);
    visit(a, server.established_at);
    double unused = 0;  // two fields of earlier versions
    visit(a, unused);
    visit(a, unused);
    visit(a, limit.latency_);
    visit(a, limit.is_mild_);
    capture::visit_negative_for_none(a, limit.limit_);
    visit(a, limit.limited_at_);
    visit(a, limit.rounding_);
    visit(a, server.subset_draw);
    visit(a, outliers.sent_in_cycle_);
    visit(a, outliers.lost_in_cycle_);
    visit_state(a, drain.excess_);
    visit(a, drain.remaining_);
    visit(a, outliers.consecutive_resets_);
    visit(a, drain.interval_);
    visit(a, drain.is_active_);
    visit(a, drain.protected_go_first_);
    visit(a, outliers.reset_at_);
}

// Every field of the policy and its parts, in an order that stays as it is, since captures hold it. One that
// is left out shows in the test that plays on from a state.
template <class A>
void StateAccess::visit_state(A& a, BalancingPolicy& policy) {
    visit_first_form(a, policy);
    if constexpr (!A::writes)
        if (a.left() == 0) return;
    visit_gossip(a, policy);
    if constexpr (!A::writes)
        if (a.left() == 0) return;
    capture::visit_latest(a, policy.config_);
    capture::visit(a, policy.gossip_.headroom_.has_timer_);
    visit_state(a, policy.gossip_.headroom_.aggregator_);
    if constexpr (!A::writes)
        if (a.left() == 0) return;
    visit_state(a, policy.retry_budget_);
    if constexpr (!A::writes)
        if (a.left() == 0) return;
    capture::visit(a, policy.config_.overload_window);
    capture::visit(a, policy.config_.quota);
    for (ServerState& server : policy.servers_.servers_) visit_state(a, server.slow_start.permits_);
    visit_state(a, policy.early_resets_);
}

template <class A>
void StateAccess::visit_first_form(A& a, BalancingPolicy& policy) {
    using capture::visit;
    ServerTable& servers = policy.servers_;
    ServerLoads& loads = policy.loads_;
    visit(a, policy.config_);
    visit_state(a, policy.random_);
    const size_t count = capture::visit_size(a, servers.servers_.size());
    if constexpr (!A::writes) {
        servers.servers_.clear();
        while (servers.servers_.size() < count) servers.servers_.emplace_back();
    }
    for (ServerState& server : servers.servers_) visit_server(a, server);
    visit(a, servers.index_);
    visit(a, policy.groups_.groups_);
    visit(a, policy.rankings_.rankings_);
    visit(a, policy.degraded_.list_);
    visit(a, loads.total_);
    visit(a, policy.groups_.connections_);
    visit(a, policy.groups_.pairs_);
    visit(a, servers.active_weight_);
    visit(a, servers.active_listed_weight_);
    visit(a, servers.active_count_);
    visit(a, servers.updates_);
    visit(a, loads.servers_in_use_);
    visit(a, policy.requests_);
    visit(a, policy.queue_.waiting_);
    visit_state(a, loads.class_loads_);
    visit(a, policy.failovers_.entries_);
    visit(a, policy.failovers_.by_age_);
    visit(a, policy.message_objective_);
    visit(a, policy.endpoints_.is_asked_);
    visit(a, policy.endpoints_.is_watching_);
    visit(a, policy.queue_.has_timer_);
    visit(a, policy.endpoints_.asked_at_);
    visit(a, policy.endpoints_.retry_pause_);
    visit(a, policy.warmup_.warm_weight_);
    capture::visit_later(a, policy.config_);
    for (ServerState& server : servers.servers_) server.id_hash = hash_of(server.endpoint.server);
}

template <class A>
void StateAccess::visit_gossip(A& a, BalancingPolicy& policy) {
    using capture::visit;
    GossipCoordinator& gossip = policy.gossip_;
    for (ServerState& server : policy.servers_.servers_) {
        visit(a, server.fleet_load);
        visit(a, server.own_load_then);
    }
    RoundExchange& rounds = gossip.rounds_;
    LocationPublisher& locations = gossip.locations_;
    visit_state(a, gossip.short_ids_);
    visit_tally(a, rounds.rounds_);
    visit_state(a, locations.locations_);
    visit_latest_sum(a, rounds.rounds_);
    visit(a, locations.unpublished_);
    visit(a, locations.credit_);
    visit(a, locations.has_timer_);
    visit(a, rounds.has_timer_);
}

}  // namespace headrouter
