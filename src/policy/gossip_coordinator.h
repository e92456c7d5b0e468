// What balancers tell one another: publishing this one's load and group locations, taking in the others'.
#pragma once
#include <algorithm>
#include <optional>
#include <string>
#include <vector>

#include "base/hash.h"
#include "base/pcg32.h"
#include "fleet_load/fleet_load_aggregator.h"
#include "gossip/gossip_message.h"
#include "gossip/gossip_rounds.h"
#include "gossip/group_locations.h"
#include "gossip/short_server_ids.h"
#include "policy/policy_actions.h"
#include "policy/rendezvous_rankings.h"
#include "policy/server_table.h"

namespace headrouter {

struct StateAccess;

/// Three kinds of messages, each with its own pace: the load of all balancers by rounds of the wall clock,
/// which one replica sums for all; each server's headroom over all balancers; and the locations of groups.
class GossipCoordinator {
   public:
    /// All must outlive it.
    struct Parts {
        const PolicyConfig& config;
        ServerTable& servers;
        RendezvousRankings& rankings;
        PolicyActions& actions;
        Pcg32& random;
    };
    explicit GossipCoordinator(const Parts& parts)
        : config_(parts.config),
          servers_(parts.servers),
          rankings_(parts.rankings),
          actions_(parts.actions),
          random_(parts.random) {}

    /// The configuration was set or has changed.
    void configure();
    /// A server was listed for the first time.
    void add_server(const ServerId& id, ServerIndex server) { short_ids_.add(id, server); }
    /// Another process has taken the server's place: it has no groups.
    void forget_locations(ServerIndex server) { locations_.remove_server(server); }

    // Timers.
    /// The source's supernodes know all counts. Where messages are allowed, each balancer sends its counts
    /// once a round to one, the round's reporter by the clock, and that one sends all the sum: two messages a
    /// balancer, and one that is dead costs a round. Within a sum the largest count of a server counts as the
    /// next.
    void begin_round(TimePoint now);
    /// As the round's reporter.
    void sum_round(TimePoint now);
    /// Each server's headroom over all balancers, aggregated by one of them (departure 12).
    void publish_headroom(TimePoint now);
    /// The locations that wait, as far as the credit goes.
    void publish_locations();

    /// A message of another replica. False where it is none that this version understands; nothing is done
    /// then.
    bool on_message(TimePoint now, int replica, const std::string& bytes);
    /// A new request earns credit for publishing a location.
    void earn_credit() { credit_ = std::min(credit_ + credit_per_request, most_credit); }
    /// A member of the group was established on the server; publishes that, unless the others know. A
    /// balancer with a handful of connections has none of most groups, and would open them once more. The
    /// first to place a member on a server tells all. The first choice of a group's ranking need not be told,
    /// as it is one of everyone's preferred servers.
    void on_group_placed(TimePoint now, const std::string& group, ServerIndex server);

    /// Trust in the published load of the fleet, 0 (none or old) to 1.
    double trust(TimePoint now) const { return config_.gossip_enabled ? rounds_.freshness(now) : 0; }
    /// Load over all balancers, in mean load units.
    double fleet_total() const { return rounds_.total_load(); }
    /// The server that the next connection should go to by its headroom over all balancers, if any. `random`
    /// lies between 0 and 1.
    std::optional<ServerIndex> pick_by_headroom(TimePoint now, double random) {
        return aggregator_.pick(now, random);
    }
    /// Calls `visit(server)` for each server that has members of the group at other replicas.
    template <class Visit>
    void for_each_location(TimePoint now, const std::string& group, Visit visit) const {
        if (!config_.gossip_enabled) return;
        for (const gossip::GroupLocation& location : locations_.locations_of(short_hash(group))) {
            const bool is_published = location.received_at.ns > 0;
            if (is_published && now - location.received_at < location_lifetime) visit(location.server);
        }
    }

   private:
    friend struct StateAccess;
    friend struct PolicyInspector;
    // Two rounds a rebalance cycle. Counts go to the round's reporter within the first time, which publishes
    // their sum after the second.
    static constexpr Duration round_time = gossip::round_time, counts_within = seconds(0.1),
                              sum_after = seconds(0.25);
    // A server with so many times the mean load or more is named in a sum.
    static constexpr double named_over_mean = 1.5;
    // Bytes over all who read them: what a request earns and what is saved up at the most. And what
    // publishing one location costs each reader, with its message.
    static constexpr double credit_per_request = 60, most_credit = 2400, cost_of_location = 12;
    // A location is published again after the first time, and soon, as crowds come back within a second; but
    // not at once, so that few balancers publish the same.
    static constexpr Duration location_republished = seconds(60), location_within = seconds(0.05);
    // A published location counts for so long.
    static constexpr Duration location_lifetime = seconds(120);

    static uint32_t short_hash(const std::string& group) {
        return static_cast<uint32_t>(hash_of(group) % gossip::group_modulus);
    }
    static gossip::ShortServerId short_id_of(const ServerState& server) {
        return gossip::ShortServerIds::short_id_of(server.endpoint.server);
    }
    int64_t round_at(TimePoint now) const { return (now + config_.wall_clock_offset).ns / round_time.ns; }
    TimePoint round_start(int64_t round) const {
        return TimePoint{round * round_time.ns - config_.wall_clock_offset.ns};
    }
    int reporter_of(int64_t round) const { return static_cast<int>(round % config_.replica_count); }
    bool is_own(int replica) const { return replica == static_cast<int>(config_.replica_index); }
    std::vector<gossip::IndexedLoad> own_loads() const {
        std::vector<gossip::IndexedLoad> rows;
        for (const ServerIndex index : servers_.indexes())
            if (!servers_[index].connections.empty())
                rows.push_back({index, servers_.load_on(servers_[index])});
        return rows;
    }
    std::string encode(gossip::MessageKind, const gossip::RoundSum&) const;
    void on_round_sum(TimePoint, const gossip::RoundSum&);
    /// Rounds come without their high bits; late ones are passed over.
    void on_round_loads(TimePoint, int replica, const gossip::Message&);
    /// Whether the server was met failing, or slow at the load that this balancer has there.
    bool is_troubled(TimePoint, const ServerState&) const;
    bool is_first_choice(TimePoint, const std::string& group, ServerIndex server);

    const PolicyConfig& config_;
    ServerTable& servers_;
    RendezvousRankings& rankings_;
    PolicyActions& actions_;
    Pcg32& random_;

    gossip::ShortServerIds short_ids_;
    gossip::GossipRounds rounds_;
    gossip::GroupLocations locations_;
    fleet_load::FleetLoadAggregator aggregator_;
    std::vector<gossip::GroupPlacement> unpublished_;
    double credit_ = most_credit;
    bool publishes_locations_ = false, runs_rounds_ = false, runs_aggregator_ = false;  // timers that are set
};

}  // namespace headrouter
