/// \file
/// The state of a whole policy as bytes, in the form of state version 1.
#pragma once
#include <functional>
#include <string>

#include "base/hash.h"
#include "capture/archive.h"
#include "capture/component_fields.h"
#include "capture/event_fields.h"
#include "policy/balancing_policy.h"

namespace headrouter {

struct StateAccess {
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
    visit(a, drain.excess_);
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
    using capture::visit;
    visit_first_form(a, policy);
    if (!capture::has_more(a)) return;
    visit_gossip(a, policy);
    if (!capture::has_more(a)) return;
    capture::visit_subset_settings(a, policy.config_);
    visit(a, policy.gossip_.headroom_.has_timer_);
    visit(a, policy.gossip_.headroom_.aggregator_);
    if (!capture::has_more(a)) return;
    visit(a, policy.retry_budget_);
    if (!capture::has_more(a)) return;
    visit(a, policy.config_.overload_window);
    visit(a, policy.config_.quota);
    for (ServerState& server : policy.servers_.servers_) visit(a, server.slow_start.permits_);
    visit(a, policy.early_resets_);
}

template <class A>
void StateAccess::visit_first_form(A& a, BalancingPolicy& policy) {
    using capture::visit;
    ServerTable& servers = policy.servers_;
    ServerLoads& loads = policy.loads_;
    GroupTable::State groups = policy.groups_.state();
    visit(a, policy.config_);
    visit(a, policy.random_);
    const size_t count = capture::visit_size(a, servers.servers_.size());
    if constexpr (!A::writes) {
        servers.servers_.clear();
        while (servers.servers_.size() < count) servers.servers_.emplace_back();
    }
    for (ServerState& server : servers.servers_) visit_server(a, server);
    visit(a, servers.index_);
    visit(a, groups.groups);
    visit(a, policy.rankings_.rankings_);
    visit(a, policy.degraded_.list_);
    visit(a, loads.total_);
    visit(a, groups.connections);
    visit(a, groups.pairs);
    if constexpr (!A::writes) policy.groups_.restore(std::move(groups));
    visit(a, servers.active_weight_);
    visit(a, servers.active_listed_weight_);
    visit(a, servers.active_count_);
    visit(a, servers.updates_);
    visit(a, loads.servers_in_use_);
    visit(a, policy.requests_);
    visit(a, policy.queue_.waiting_);
    visit(a, loads.class_loads_);
    visit(a, policy.failovers_);
    visit(a, policy.message_objective_);
    visit(a, policy.endpoints_.is_asked_);
    visit(a, policy.endpoints_.is_watching_);
    visit(a, policy.queue_.has_timer_);
    visit(a, policy.endpoints_.asked_at_);
    visit(a, policy.endpoints_.retry_pause_);
    visit(a, policy.warmup_.warm_weight_);
    capture::visit_gossip_settings(a, policy.config_);
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
    RoundExchange& exchange = gossip.rounds_;
    LocationPublisher& locations = gossip.locations_;
    gossip::GossipRounds::State rounds = exchange.rounds_.state();
    visit(a, gossip.short_ids_);
    visit(a, rounds.tally);
    visit(a, locations.locations_);
    visit(a, rounds.total_load);
    visit(a, rounds.received_at);
    visit(a, rounds.last_round);
    if constexpr (!A::writes) exchange.rounds_.restore(std::move(rounds));
    visit(a, locations.unpublished_);
    visit(a, locations.credit_);
    visit(a, locations.has_timer_);
    visit(a, exchange.has_timer_);
}

}  // namespace headrouter
