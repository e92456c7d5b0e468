/// How captures and state transfers write and read the parts that the policy stands on. The order and the
/// form of the fields stay as they are: captures written before must be read alike.
#pragma once
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
#include "load/request_class_loads.h"
#include "retry/early_reset_rate.h"
#include "retry/retry_budget.h"
#include "slow_start/warmup_permits.h"

namespace headrouter {

namespace capture {

template <class A>
void visit(A& a, gossip::ServerLoad& row) {
    visit(a, row.server);
    visit(a, row.load);
}

template <class A>
void visit(A& a, gossip::GroupPlacement& placement) {
    visit(a, placement.group);
    visit(a, placement.server);
}

template <class A>
void visit(A& a, gossip::GroupLocation& location) {
    visit(a, location.server);
    visit(a, location.received_at);
    visit(a, location.announced_at);
    visit(a, location.announcement_pending);
}

template <class A>
void visit(A& a, fleet_load::RendezvousRanking& ranking) {
    visit(a, ranking.scores);
    visit(a, ranking.order);
}

}  // namespace capture

/// The friend of the components through which their private fields are visited.
struct ComponentStateAccess {
    /// A list of elements that `visit_element` visits.
    template <class A, class List, class Visit>
    static void visit_all(A& a, List& list, Visit visit_element) {
        list.resize(capture::visit_size(a, list.size()));
        for (auto& element : list) visit_element(element);
    }

    template <class A>
    static void visit_state(A& a, Pcg32& generator) {
        capture::visit(a, generator.state_);
        capture::visit(a, generator.increment_);
    }

    template <class A, int bucket_count>
    static void visit_state(A& a, SlidingWindow<bucket_count>& window) {
        capture::visit(a, window.bucket_width_);
        capture::visit(a, window.newest_bucket_);
        capture::visit(a, window.buckets_);
    }

    template <class A>
    static void visit_state(A& a, RequestClassLoads& loads) {
        capture::visit(a, loads.load_by_class_);
        capture::visit(a, loads.reports_by_class_);
        capture::visit(a, loads.total_load_);
        capture::visit(a, loads.total_reports_);
    }

    template <class A>
    static void visit_state(A& a, RetryBudget& budget) {
        visit_state(a, budget.requests_);
        visit_state(a, budget.retries_);
    }

    template <class A>
    static void visit_state(A& a, EarlyResetRate& rate) {
        visit_state(a, rate.established_);
        visit_state(a, rate.resets_);
    }

    template <class A>
    static void visit_state(A& a, slow_start::WarmupPermits& permits) {
        capture::visit(a, permits.discovered_at_);
        capture::visit(a, permits.updated_at_);
        capture::visit(a, permits.issued_level_);
        capture::visit(a, permits.discovery_level_);
        capture::visit(a, permits.next_permit_level_);
    }

    /// In a capture the rounds' tally stands apart from their other fields.
    template <class A>
    static void visit_tally(A& a, gossip::GossipRounds& rounds) {
        gossip::LoadTally& tally = rounds.tally_;
        const auto visit_sum = [&](gossip::LoadTally::RobustSum& sum) {
            capture::visit(a, sum.sum_);
            capture::visit(a, sum.largest_);
            capture::visit(a, sum.second_largest_);
        };
        capture::visit(a, tally.round_);
        capture::visit(a, tally.has_reported_);
        visit_sum(tally.total_);
        visit_all(a, tally.servers_, visit_sum);
    }

    template <class A>
    static void visit_latest_sum(A& a, gossip::GossipRounds& rounds) {
        capture::visit(a, rounds.total_load_);
        capture::visit(a, rounds.received_at_);
        capture::visit(a, rounds.last_round_);
    }

    template <class A>
    static void visit_state(A& a, gossip::ShortServerIds& ids) {
        capture::visit(a, ids.servers_);
    }

    template <class A>
    static void visit_state(A& a, gossip::GroupLocations& locations) {
        capture::visit(a, locations.groups_);
    }

    template <class A>
    static void visit_state(A& a, fleet_load::FleetLoadAggregator& aggregator) {
        using capture::visit;
        using capture::visit_negative_for_none;
        visit(a, aggregator.replica_index_);
        visit(a, aggregator.replica_count_);
        visit_negative_for_none(a, aggregator.election_.epoch_);
        visit(a, aggregator.election_.candidate_);
        visit(a, aggregator.election_.last_candidate_);
        visit(a, aggregator.timestamp_);
        visit(a, aggregator.ticked_at_);
        visit(a, aggregator.reported_at_);
        visit(a, aggregator.election_.since_);
        visit(a, aggregator.loss_at_);
        visit(a, aggregator.reported_);
        visit_all(a, aggregator.servers_, [&](fleet_load::EligibleServer& server) {
            visit(a, server.server);
            visit(a, server.short_id);
            visit(a, server.weight);
        });
        fleet_load::HeadroomCalculator& calculator = aggregator.calculator_;
        visit_all(a, calculator.reporters_, [&](fleet_load::HeadroomCalculator::Reporter& reporter) {
            visit(a, reporter.received_at);
            visit(a, reporter.timestamp);
            visit(a, reporter.loads);
        });
        visit_state(a, calculator.arrivals_);
        visit(a, calculator.computed_at_);
        visit(a, calculator.enough_reporters_at_);
        fleet_load::ReceivedHeadroom& headroom = aggregator.headroom_;
        visit(a, headroom.headroom_);
        visit(a, headroom.timestamp_);
        visit_negative_for_none(a, headroom.from_);
        visit(a, headroom.received_at_);
        visit(a, headroom.picked_);
        visit(a, headroom.usually_picked_);
    }
};

}  // namespace headrouter
