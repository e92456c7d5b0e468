/// \file
/// Lists the fields of the plain types in the policy's events, in the order of their bytes. The order is
/// fixed by existing captures: a new field goes to the end of the whole policy state or event.
#pragma once
#include "capture/archive.h"
#include "policy/policy_config.h"
#include "policy/request_state.h"
#include "policy/types.h"

namespace headrouter::capture {

template <class Visitor>
void for_each_field(RequestClass& request_class, Visitor visit) {
    visit(request_class.idempotency);
    visit(request_class.dedup_scope);
    visit(request_class.setup_objective);
    visit(request_class.deadline);
    visit(request_class.dedup_window);
    visit(request_class.message_objective);
}

/// Visits the settings of the original layout. Later settings are elsewhere in the bytes: where
/// visit_gossip_settings() and visit_subset_settings() are called.
template <class Visitor>
void for_each_field(PolicyConfig& config, Visitor visit) {
    visit(config.request_classes);
    visit(config.tenants);
    visit(config.max_attempts);
    visit(config.replica_index);
    visit(config.zone);
    visit(config.cross_zone_cost);
    visit(config.polls_endpoints);
    visit(config.passthrough);
    visit(config.groups);
    visit(config.advises_retry_after);
    visit(config.parked_connection_lifetime);
    visit(config.max_retry_after);
    visit(config.step);
    visit(config.slow_start_time);
}

template <class Archive>
void visit_gossip_settings(Archive& archive, PolicyConfig& config) {
    if (!has_more(archive)) return;
    visit(archive, config.replica_count);
    visit(archive, config.gossip_enabled);
    visit(archive, config.overload_multiple);
    visit(archive, config.wall_clock_offset);
}

template <class Archive>
void visit_subset_settings(Archive& archive, PolicyConfig& config) {
    if (!has_more(archive)) return;
    visit(archive, config.subset_order);
    visit(archive, config.aggregates_fleet_load);
}

template <class Visitor>
void for_each_field(Endpoint& endpoint, Visitor visit) {
    visit(endpoint.server);
    visit(endpoint.weight);
    visit(endpoint.state);
    visit(endpoint.zone);
    visit(endpoint.cell);
    visit(endpoint.launched);
}

template <class Visitor>
void for_each_field(Attempt& attempt, Visitor visit) {
    visit(attempt.server);
    visit(attempt.sent);
    visit(attempt.pending);
    visit(attempt.established);
}

/// Visits a request as it arrived, followed by the policy's record of it.
template <class Visitor>
void for_each_field(RequestState& request, Visitor visit) {
    visit(request.id);
    visit(request.type);
    visit(request.tenant);
    visit(request.is_reconnect);
    visit(request.mid_stream);
    visit(request.key);
    visit(request.group);
    visit(request.hinted_load);
    visit(request.deadline);
    visit(request.attempts);
    visit(NegativeForNone{request.may_have_run});
    visit(NegativeForNone{request.chosen_server});
    visit(NegativeForNone{request.connection_index});
    visit(NegativeForNone{request.load});
    visit(request.is_protected);
    visit(request.queued);
    bool unused = false;  // a field of earlier versions
    visit(unused);
}

/// Visits the request of an event in the layout of RequestState, with an empty record.
template <class Archive>
void visit(Archive& archive, Request& request) {
    RequestState state(request);
    visit(archive, state);
    if constexpr (!Archive::writes) request = std::move(state);
}

template <class Visitor>
void for_each_field(LoadReport& report, Visitor visit) {
    visit(report.load_share);
}

}  // namespace headrouter::capture
