/// Pools the loads of many balancers, each with only a handful of connections, so that together they load the
/// servers evenly.
///
/// Each balancer reports its loads, when they change, to one of the balancers, the aggregator. The aggregator
/// sends all its reporters each server's headroom, which sets its fraction of the next connections.
/// The aggregator is the first balancer that answers, in a random order seeded by the wall clock; the order
/// changes with each epoch. A balancer that gets no answer for a while advances to the next candidate, so
/// that any part of the fleet that can exchange messages pools its loads. docs/fleet-load.md gives the
/// reasons for this design.
///
/// This module sends no datagrams, sets no timers and only proposes servers. Points in time are on the
/// policy's clock; `wall_time` is on the clock that all balancers share. A balancer whose wall clock is wrong
/// causes no harm: it pools with other balancers.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/server_index.h"
#include "base/time.h"
#include "fleet_load/aggregator_election.h"
#include "fleet_load/eligible_server.h"
#include "fleet_load/headroom_calculator.h"
#include "fleet_load/received_headroom.h"
#include "gossip/gossip_message.h"
#include "gossip/load_tally.h"

namespace headrouter::fleet_load {

/// Holds a message to send.
struct OutgoingMessage {
    int replica_index;  ///< of the receiving balancer
    std::string bytes;
};

/// Implements one balancer's roles: it reports its loads, and aggregates those of the balancers that report
/// to it. Not thread-safe.
class FleetLoadAggregator {
   public:
    struct State {
        int replica_index = 0;
        int replica_count = 1;
        std::vector<EligibleServer> servers;  ///< by short id
        AggregatorElection election;

        // As a reporter.
        uint32_t timestamp = 0;  ///< of the latest tick
        TimePoint ticked_at;
        TimePoint reported_at;
        TimePoint loss_at;                         ///< when a lost message was last detected
        std::vector<gossip::ServerLoad> reported;  ///< the latest report

        HeadroomCalculator calculator;  ///< as an aggregator
        ReceivedHeadroom headroom;
    };

    [[nodiscard]] const State& state() const { return state_; }
    void restore(State state) { state_ = std::move(state); }

    /// Interval at which `tick` must be called.
    static constexpr Duration tick_interval = millis(250);

    /// Sets this balancer's index and the number of replicas; with fewer than two, nothing is pooled.
    void set_replica(int replica_index, int replica_count);

    /// Returns the messages to send now. `own_loads` has a row for each server with a load, `degraded_marker`
    /// for one found slow or failing; `servers` has every server of this balancer's list, each with a unique
    /// short id.
    [[nodiscard]] std::vector<OutgoingMessage> tick(TimePoint now, TimePoint wall_time,
                                                    const std::vector<gossip::IndexedLoad>& own_loads,
                                                    const std::vector<EligibleServer>& servers);

    /// Handles a load report or a headroom message. Ignores headroom that is not from this balancer's
    /// aggregator or not for its server list.
    void on_message(TimePoint now, int from, const gossip::Message& message);

    /// Returns the server for the next connection according to the loads of all balancers. Returns nullopt if
    /// the balancer's own share must decide: without fresh headroom, when the headroom is used up
    /// (ReceivedHeadroom::is_used_up), or when it leaves this connection to that share
    /// (ReceivedHeadroom::pick). `random` is between 0 and 1; as freshness falls, fewer values use the
    /// headroom.
    [[nodiscard]] std::optional<ServerIndex> pick(TimePoint now, double random);

    /// Returns the weight to give the headroom: 1 while it is fresh, then falling to 0.
    [[nodiscard]] double freshness(TimePoint now) const;

   private:
    bool was_suspended(TimePoint now) const;
    int aggregator() const { return state_.election.aggregator(state_.replica_count); }
    bool has_answered() const { return state_.election.has_answered(state_.headroom.received_at()); }
    uint32_t list_checksum() const;

    void forget_others(TimePoint now);
    void update_servers(const std::vector<EligibleServer>&);
    void update_aggregator(TimePoint now, TimePoint wall_time);

    std::vector<gossip::ServerLoad> report_of(const std::vector<gossip::IndexedLoad>& own_loads) const;
    bool is_report_due(TimePoint now, const std::vector<gossip::ServerLoad>&);
    void report(TimePoint now, const std::vector<gossip::IndexedLoad>& own_loads,
                std::vector<OutgoingMessage>& out);

    void on_headroom(TimePoint now, int from, const gossip::Message&);
    void aggregate(TimePoint now, std::vector<OutgoingMessage>& out);
    void publish_headroom(TimePoint now, const std::vector<int>& headroom, std::vector<OutgoingMessage>& out);

    State state_;
};

}  // namespace headrouter::fleet_load
