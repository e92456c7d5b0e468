/// \file
/// Serializes the whole state of a policy, in the layout of state version 1. Fields of several components
/// alternate in this layout. Fields that were added later are at the end, which older bytes do not have.
#pragma once
#include <utility>

#include "base/hash.h"
#include "capture/archive.h"
#include "capture/component_fields.h"
#include "capture/event_fields.h"
#include "policy/balancing_policy.h"

namespace headrouter::capture {

template <class Archive>
void visit(Archive& archive, ServerState& server) {
    OutlierDetector::State outliers = server.outliers.state();
    LoadLimit::State limit = server.load_limit.state();
    SlowStart::State slow_start = server.slow_start.state();
    SurplusDrain::State drain = server.drain.state();
    visit(archive, server.endpoint);
    visit(archive, server.weight);
    visit(archive, slow_start.is_restart_expected);
    visit(archive, slow_start.started);
    visit(archive, server.connections);
    visit(archive, server.load);
    visit_negative_for_none(archive, server.degraded_index);
    visit_negative_for_none(archive, server.named_in_update);
    visit(archive, server.pending_attempts);
    visit(archive, server.protected_connections);
    visit(archive, outliers.failure_penalty);
    visit(archive, outliers.penalty_at);
    visit(archive, outliers.consecutive_failures);
    visit(archive, outliers.backoff_until);
    visit(archive, outliers.ejected_until);
    visit(archive, limit.reported_at);
    visit(archive, server.established_at);
    std::array<double, 2> unused{};  // fields of earlier versions
    visit(archive, unused);
    visit(archive, limit.latency);
    visit(archive, limit.has_steady_low_latency);
    visit_negative_for_none(archive, limit.limit);
    visit(archive, limit.limited_at);
    visit(archive, limit.rounding);
    visit(archive, server.subset_draw);
    visit(archive, outliers.sent_in_cycle);
    visit(archive, outliers.lost_in_cycle);
    visit(archive, drain.excess);
    visit(archive, drain.remaining);
    visit(archive, outliers.consecutive_resets);
    visit(archive, drain.interval);
    visit(archive, drain.is_active);
    visit(archive, drain.protected_go_first);
    visit(archive, outliers.reset_at);
    if constexpr (Archive::writes) return;
    server.id_hash = hash_of(server.endpoint.server);
    server.outliers.restore(outliers);
    server.load_limit.restore(limit);
    server.slow_start.restore(slow_start);
    server.drain.restore(drain);
}

template <class Archive>
void visit_original_fields(Archive& archive, BalancingPolicy::State& policy) {
    ServerTable::State& servers = policy.servers;
    visit(archive, policy.config);
    visit(archive, policy.random);
    visit(archive, servers.servers);
    visit(archive, servers.index);
    visit(archive, policy.groups.groups);
    visit(archive, policy.rankings);
    visit(archive, policy.degraded);
    visit(archive, policy.loads.total);
    visit(archive, policy.groups.connections);
    visit(archive, policy.groups.pairs);
    visit(archive, servers.active_weight);
    visit(archive, servers.active_listed_weight);
    visit(archive, servers.active_count);
    visit(archive, servers.updates);
    visit(archive, policy.loads.servers_in_use);
    visit(archive, policy.requests);
    visit(archive, policy.queue.waiting);
    visit(archive, policy.loads.class_loads);
    visit(archive, policy.failovers);
    visit(archive, policy.message_objective);
    visit(archive, policy.endpoints.is_request_pending);
    visit(archive, policy.endpoints.is_watching);
    visit(archive, policy.queue.has_timer);
    visit(archive, policy.endpoints.requested_at);
    visit(archive, policy.endpoints.retry_pause);
    visit(archive, policy.warmup.warm_weight);
    visit_gossip_settings(archive, policy.config);
}

template <class Archive>
void visit_gossip(Archive& archive, BalancingPolicy::State& policy) {
    GossipCoordinator::State& gossip = policy.gossip;
    gossip::GossipRounds::State rounds = gossip.rounds.rounds.state();
    for (ServerState& server : policy.servers.servers) {
        visit(archive, server.fleet_load);
        visit(archive, server.own_load_in_fleet_load);
    }
    visit(archive, gossip.short_ids);
    visit(archive, rounds.tally);
    visit(archive, gossip.locations.locations);
    visit(archive, rounds.total_load);
    visit(archive, rounds.received_at);
    visit(archive, rounds.last_round);
    visit(archive, gossip.locations.unpublished);
    visit(archive, gossip.locations.credit);
    visit(archive, gossip.locations.has_timer);
    visit(archive, gossip.rounds.has_timer);
    gossip.rounds.rounds.restore(std::move(rounds));
}

template <class Archive>
void visit_fleet_load(Archive& archive, BalancingPolicy::State& policy) {
    visit_subset_settings(archive, policy.config);
    visit(archive, policy.gossip.headroom.has_timer);
    visit(archive, policy.gossip.headroom.aggregator);
}

template <class Archive>
void visit_warmup(Archive& archive, BalancingPolicy::State& policy) {
    visit(archive, policy.config.overload_window);
    visit(archive, policy.config.quota);
    for (ServerState& server : policy.servers.servers) {
        SlowStart::State slow_start = server.slow_start.state();
        visit(archive, slow_start.permits);
        server.slow_start.restore(slow_start);
    }
}

/// Visits every field of the policy. A test that replays from a state fails if a field is missing here.
template <class Archive>
void visit(Archive& archive, BalancingPolicy::State& policy) {
    visit_original_fields(archive, policy);
    if (!has_more(archive)) return;
    visit_gossip(archive, policy);
    if (!has_more(archive)) return;
    visit_fleet_load(archive, policy);
    if (!has_more(archive)) return;
    visit(archive, policy.retry_budget);
    if (!has_more(archive)) return;
    visit_warmup(archive, policy);
    visit(archive, policy.early_resets);
}

}  // namespace headrouter::capture
