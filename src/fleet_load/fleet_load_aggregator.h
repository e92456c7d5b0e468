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
#include <vector>

#include "base/server_index.h"
#include "base/sliding_window.h"
#include "base/time.h"
#include "gossip/gossip_message.h"
#include "gossip/load_tally.h"

namespace headrouter {

struct ComponentStateAccess;

namespace fleet_load {

/// A server to which this balancer may send connections.
struct EligibleServer {
    ServerIndex server;
    gossip::ShortServerId short_id;
    double weight;
};

struct OutgoingMessage {
    int replica_index;  ///< of the balancer that it goes to
    std::string bytes;
};

/// One balancer's part in it: reporter, and aggregator for those that report to it. Not thread-safe.
class FleetLoadAggregator {
   public:
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
    /// balancer's own share is to decide: without fresh headroom, and beyond twice the connections that
    /// usually come between two headroom messages, since headroom is for what usually comes, and a burst at
    /// many balancers at once would overfill the servers that have some. `random` lies between 0 and 1.
    [[nodiscard]] std::optional<ServerIndex> pick(TimePoint now, double random);

    /// The weight that the headroom deserves: 1 while it is fresh, falling to 0.
    [[nodiscard]] double freshness(TimePoint now) const;

   private:
    friend struct headrouter::ComponentStateAccess;

    struct Reporter {
        TimePoint received_at;  // of the latest report; zero before the first
        uint32_t timestamp = 0;
        std::vector<gossip::ServerLoad> loads;

        /// Whether its latest report still counts.
        [[nodiscard]] bool is_current(TimePoint now) const;
    };
    struct ServerTotal;
    struct FleetTotals;

    bool was_suspended(TimePoint now) const;
    int aggregator() const;
    bool has_answered() const { return headroom_at_ > aggregator_since_; }
    uint32_t list_checksum() const;

    void forget_others(TimePoint now);
    void update_servers(const std::vector<EligibleServer>&);
    void begin_epoch(TimePoint now, int64_t epoch);
    void replace_silent_aggregator(TimePoint now);

    std::vector<gossip::ServerLoad> report_of(const std::vector<gossip::IndexedLoad>& own_loads) const;
    bool is_report_due(TimePoint now, const std::vector<gossip::ServerLoad>&);
    void report(TimePoint now, const std::vector<gossip::IndexedLoad>& own_loads,
                std::vector<OutgoingMessage>& out);

    void on_load_report(TimePoint now, int from, const gossip::Message&);
    void count_arrivals(TimePoint now, const Reporter&, const std::vector<gossip::ServerLoad>&);
    void on_headroom(TimePoint now, int from, const gossip::Message&);
    void accept_headroom(TimePoint now, const std::vector<int>& headroom);

    bool may_aggregate(TimePoint now, int reporters);
    FleetTotals sum_reports(TimePoint now) const;
    std::vector<int> headroom_for(TimePoint now, const FleetTotals&);
    void aggregate(TimePoint now, std::vector<OutgoingMessage>& out);
    void publish_headroom(TimePoint now, const std::vector<int>& headroom, std::vector<OutgoingMessage>& out);

    int replica_index_ = 0;
    int replica_count_ = 1;
    std::vector<EligibleServer> servers_;  // by short id

    // As a reporter.
    int64_t epoch_ = -1;
    int candidate_ = 0;       // which candidate of this epoch is the aggregator
    int last_candidate_ = 3;  // up to which they are tried before the first is tried again
    uint32_t timestamp_ = 0;  // of the latest tick
    TimePoint ticked_at_, reported_at_, aggregator_since_, loss_at_;
    std::vector<gossip::ServerLoad> reported_;  // the latest report

    // As an aggregator.
    std::vector<Reporter> reporters_;                // by replica index
    SlidingWindow<4> arrivals_{seconds(1)};          // connections that came up at all reporters
    TimePoint aggregated_at_, enough_reporters_at_;  // the latter: zero while there are too few

    // Headroom received.
    std::vector<int> headroom_;  // in the order of servers_
    uint32_t headroom_timestamp_ = 0;
    int headroom_from_ = -1;
    TimePoint headroom_at_;
    int picked_ = 0;             // since then
    double usually_picked_ = 0;  // between two headroom messages
};

}  // namespace fleet_load
}  // namespace headrouter
