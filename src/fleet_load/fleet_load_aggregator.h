/// How many balancers, each of which sees a handful of connections, fill one fleet of servers evenly.
///
/// Each balancer reports its loads, when they change, to one of them, the aggregator. The aggregator answers
/// all who report to it with each server's headroom: how much of the next connections the server should get.
/// The aggregator is the first that answers in an order drawn from the wall clock, which changes with each
/// epoch. A balancer that gets no answer for a while turns to the next one, so that any part of the fleet
/// that can exchange messages pools among itself. docs/fleet-load.md says why it is done in this way.
///
/// Nothing is sent, timed or placed here. Points in time are on the policy's clock; `wall_time` is on the
/// clock that all balancers share. A wrong wall clock does no harm: that balancer pools with others.
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

struct OutgoingMessage {
    int replica_index;  ///< of the balancer that it goes to
    std::string bytes;
};

/// One balancer's part in it: reporter, and aggregator for those that report to it. Not thread-safe.
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
        TimePoint loss_at;                         ///< when a message was last seen to be lost
        std::vector<gossip::ServerLoad> reported;  ///< the latest report

        HeadroomCalculator calculator;  ///< as an aggregator
        ReceivedHeadroom headroom;
    };

    [[nodiscard]] const State& state() const { return state_; }
    void restore(State state) { state_ = std::move(state); }

    /// How often `tick` is to be called.
    static constexpr Duration tick_interval = millis(250);

    /// Sets this balancer's own index among so many; fewer than two: there is nobody to pool with.
    void set_replica(int replica_index, int replica_count);

    /// Returns what is to be sent now. `own_loads` has a row for each server with a load, `degraded_marker`
    /// for one found slow or failing; `servers` are all that the own list has, with a short id each of its
    /// own.
    [[nodiscard]] std::vector<OutgoingMessage> tick(TimePoint now, TimePoint wall_time,
                                                    const std::vector<gossip::IndexedLoad>& own_loads,
                                                    const std::vector<EligibleServer>& servers);

    /// Takes a load report, or a headroom message; the latter only from this balancer's aggregator and for
    /// the list of servers that it has.
    void on_message(TimePoint now, int from, const gossip::Message& message);

    /// The server that the next connection should go to, by the loads of all balancers. Nothing where the
    /// balancer's own share is to decide: without fresh headroom, and where it is used up
    /// (ReceivedHeadroom::is_used_up). `random` lies between 0 and 1.
    [[nodiscard]] std::optional<ServerIndex> pick(TimePoint now, double random);

    /// The weight that the headroom deserves: 1 while it is fresh, falling to 0.
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
