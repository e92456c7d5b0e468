/// \file
/// Lists the fields of the components that the policy is built from, in the order of their bytes. The order
/// is fixed by existing captures: a new field goes to the end of the whole policy state.
#pragma once
#include "affinity/failover_table.h"
#include "affinity/group_table.h"
#include "base/pcg32.h"
#include "base/sliding_window.h"
#include "capture/archive.h"
#include "fleet_load/fleet_load_aggregator.h"
#include "fleet_load/rendezvous_ranking.h"
#include "gossip/gossip_message.h"
#include "gossip/gossip_rounds.h"
#include "gossip/group_locations.h"
#include "gossip/load_tally.h"
#include "gossip/short_server_ids.h"
#include "load/connection_load.h"
#include "load/request_class_loads.h"
#include "retry/early_reset_rate.h"
#include "retry/retry_budget.h"
#include "slow_start/warmup_permits.h"

namespace headrouter::capture {

template <class Visitor>
void for_each_field(gossip::ServerLoad& row, Visitor visit) {
    visit(row.server);
    visit(row.load);
}

template <class Visitor>
void for_each_field(gossip::GroupPlacement& placement, Visitor visit) {
    visit(placement.group);
    visit(placement.server);
}

template <class Visitor>
void for_each_field(gossip::GroupLocation& location, Visitor visit) {
    visit(location.server);
    visit(location.received_at);
    visit(location.announced_at);
    visit(location.announcement_pending);
}

template <class Visitor>
void for_each_field(fleet_load::RendezvousRanking& ranking, Visitor visit) {
    visit(ranking.scores);
    visit(ranking.order);
}

template <class Visitor>
void for_each_field(Pcg32::State& generator, Visitor visit) {
    visit(generator.state);
    visit(generator.increment);
}

template <class Visitor, int bucket_count>
void for_each_field(SlidingWindowState<bucket_count>& window, Visitor visit) {
    visit(window.bucket_width);
    visit(window.newest_bucket);
    visit(window.buckets);
}

template <class Visitor>
void for_each_field(RequestClassLoads::State& loads, Visitor visit) {
    visit(loads.load_by_class);
    visit(loads.reports_by_class);
    visit(loads.total_load);
    visit(loads.total_reports);
}

template <class Visitor>
void for_each_field(RetryBudget::State& budget, Visitor visit) {
    visit(budget.requests);
    visit(budget.retries);
}

template <class Visitor>
void for_each_field(EarlyResetRate::State& rate, Visitor visit) {
    visit(rate.established);
    visit(rate.resets);
}

template <class Visitor>
void for_each_field(slow_start::WarmupPermits::State& permits, Visitor visit) {
    visit(permits.discovered_at);
    visit(permits.updated_at);
    visit(permits.issued_level);
    visit(permits.discovery_level);
    visit(permits.next_permit_level);
}

template <class Visitor>
void for_each_field(gossip::LoadTally::RobustSum& sum, Visitor visit) {
    visit(sum.sum);
    visit(sum.largest);
    visit(sum.second_largest);
}

template <class Visitor>
void for_each_field(gossip::LoadTally::State& tally, Visitor visit) {
    visit(tally.round);
    visit(tally.has_reported);
    visit(tally.total);
    visit(tally.servers);
}

template <class Visitor>
void for_each_field(fleet_load::EligibleServer& server, Visitor visit) {
    visit(server.server);
    visit(server.short_id);
    visit(server.weight);
}

template <class Visitor>
void for_each_field(fleet_load::HeadroomCalculator::Reporter& reporter, Visitor visit) {
    visit(reporter.received_at);
    visit(reporter.timestamp);
    visit(reporter.loads);
}

template <class Visitor>
void for_each_field(fleet_load::HeadroomCalculator::State& calculator, Visitor visit) {
    visit(calculator.reporters);
    visit(calculator.arrivals);
    visit(calculator.computed_at);
    visit(calculator.enough_reporters_at);
}

template <class Visitor>
void for_each_field(fleet_load::ReceivedHeadroom::State& received, Visitor visit) {
    visit(received.headroom);
    visit(received.timestamp);
    visit(NegativeForNone{received.from});
    visit(received.received_at);
    visit(received.picked);
    visit(received.usually_picked);
}

/// Visits the fields of the election between those of the aggregator, as existing captures have them.
template <class Visitor>
void for_each_field(fleet_load::FleetLoadAggregator::State& aggregator, Visitor visit) {
    fleet_load::AggregatorElection::State election = aggregator.election.state();
    visit(aggregator.replica_index);
    visit(aggregator.replica_count);
    visit(NegativeForNone{election.epoch});
    visit(election.candidate);
    visit(election.last_candidate);
    visit(aggregator.timestamp);
    visit(aggregator.ticked_at);
    visit(aggregator.reported_at);
    visit(election.since);
    visit(aggregator.loss_at);
    visit(aggregator.reported);
    visit(aggregator.servers);
    visit(aggregator.calculator);
    visit(aggregator.headroom);
    aggregator.election.restore(election);
}

template <class Visitor>
void for_each_field(ConnectionLoad& load, Visitor visit) {
    visit(load.unreported);
    visit(load.reported);
}

template <class Visitor>
void for_each_field(GroupTable::Members& members, Visitor visit) {
    visit(members.server);
    visit(members.count);
}

template <class Visitor>
void for_each_field(FailoverTable::Entry& entry, Visitor visit) {
    visit(entry.server);
    visit(entry.at);
    visit(entry.is_parked);
}

template <class Visitor>
void for_each_field(FailoverTable::State& failovers, Visitor visit) {
    visit(failovers.entries);
    visit(failovers.by_age);
}

}  // namespace headrouter::capture
