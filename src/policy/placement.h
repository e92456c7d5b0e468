/// Chooses the server for a request's next attempt.
#pragma once
#include <optional>
#include <string>

#include "affinity/group_table.h"
#include "base/pcg32.h"
#include "policy/fair_shares.h"
#include "policy/gossip_coordinator.h"
#include "policy/rendezvous_rankings.h"

namespace headrouter {

/// Holds a request to place and the state of the fleet at that time.
struct PlacementContext {
    TimePoint now;
    const RequestState& request;
    const FleetView& fleet;
    double load = 0;  ///< load of the request, in mean load units
    /// The server that recently failed a request with this key, if this request arrives in the pause of the
    /// rebalance cycle.
    std::optional<ServerIndex> failed_server;
    double gossip_trust = 0;  ///< trust in the fleet load that gossip publishes, 0 to 1
};

/// Chooses servers. Changes no state but `random`, the cached rankings and the headroom that choices use up.
///
/// If choose() returns no server, the request should be given up: the servers could not serve further load.
class Placement {
   public:
    /// Dependencies, which must outlive the placement.
    struct Parts {
        const PolicyConfig& config;
        const ServerTable& servers;
        const ServerLoads& loads;
        const WarmupAdmission& warmup;
        const FairShares& shares;
        const GroupTable& groups;
        RendezvousRankings& rankings;
        GossipCoordinator& gossip;
        Pcg32& random;
    };
    explicit Placement(const Parts& parts)
        : config_(parts.config),
          servers_(parts.servers),
          loads_(parts.loads),
          warmup_(parts.warmup),
          shares_(parts.shares),
          groups_(parts.groups),
          rankings_(parts.rankings),
          gossip_(parts.gossip),
          random_(parts.random) {}

    /// Returns a cold server for which this balancer has a warm-up permit and whose share is less than the
    /// request's load. Such a server goes before all others; if there is none, choose() decides. Permits for
    /// a cold server rotate among all balancers. If it were drawn at random like any other, the few balancers
    /// that have a permit would hardly ever draw it, and it would stay cold.
    std::optional<ServerIndex> choose_cold(const PlacementContext&) const;
    /// Returns the server for the request. In passthrough mode, an affinity key is ranked like a group, so
    /// that every balancer sends the key's packets to the same server.
    std::optional<ServerIndex> choose(const PlacementContext&);
    /// Returns whether the server has room for the request. `in_group`: by the limit for members of a group,
    /// who may exceed the share. If there is a `failed_server`, any other that is open and not slow has room.
    bool has_room(const PlacementContext&, ServerIndex, bool in_group) const;
    /// Returns the server's subset draw divided by its weight. Of two servers, this balancer prefers the one
    /// with the lower rank.
    double subset_rank(ServerIndex server) const {
        return servers_[server].subset_draw / servers_[server].weight;
    }

   private:
    /// The first servers of a group's ranking, whose shares together have room for the group.
    struct PreferredServers {
        size_t end = 0;         ///< index in the ranking's order after the last of them
        int at_load_limit = 0;  ///< number of them that are at their load limits
    };

    /// Returns a server by the published headroom, else a random one of those below their shares, else the
    /// one that would be least over its share. Where a share is less than one connection, the subset draw
    /// decides whether the server takes a whole connection, which keeps the total over all balancers correct.
    std::optional<ServerIndex> choose_at_random(const PlacementContext&);
    /// Returns a server for a new request by the published headroom, if there is one.
    std::optional<ServerIndex> choose_by_headroom(const PlacementContext&);

    /// Returns a server for a member of a group. Members share work on a server, so the group should use few.
    /// Balancers need not agree on a ranking: each derives the same one from the name. Order: near servers
    /// with members, where the shared work is done already; preferred servers; if gossip is trusted, those
    /// with members in all zones; the rest of the ranking; the least over its share. While much of the fleet
    /// is slow, returns nullopt if the chosen preferred server may be slow, or none has room and one is slow.
    std::optional<ServerIndex> choose_for_group(const PlacementContext&, const std::string& ranking_name);
    /// Sets the PreferredServers, by the group's part of this balancer's load, and returns the one with room
    /// that has the lowest subset_rank(). For a key, returns the first server with room of the whole ranking.
    std::optional<ServerIndex> choose_preferred(const PlacementContext&, const fleet_load::RendezvousRanking&,
                                                PreferredServers&) const;
    /// Returns the part of this balancer's load that the group's preferred servers should have room for, in
    /// mean load units. A balancer with few connections cannot tell what part of all is in a group.
    double expected_group_load(const PlacementContext&) const;
    /// Returns the best ranked server with room among those that have members of the group; unless
    /// `all_zones`, only near ones, but without gossip trust this balancer's own members count in all zones.
    std::optional<ServerIndex> choose_with_members(const PlacementContext&,
                                                   const fleet_load::RendezvousRanking&,
                                                   bool all_zones) const;

    /// Returns the server that would be least over its share, among servers below their load limits. Where
    /// messages take long regardless of load, a server reports latencies that its load does not cause. A
    /// server with such a mild load limit is chosen only if there is no other, instead of a reject.
    std::optional<ServerIndex> choose_least_over_share(const PlacementContext&,
                                                       const fleet_load::RendezvousRanking*) const;
    std::optional<ServerIndex> choose_least_over_share(const PlacementContext&,
                                                       const fleet_load::RendezvousRanking*,
                                                       bool allows_mild) const;

    /// Returns whether the server has room for a member of a group, by the loads of all balancers as far as
    /// they are trusted, and by this balancer's own load for the rest.
    bool has_room_in_fleet(const PlacementContext&, const ServerState&, double share) const;
    /// Returns this balancer's load on the server, as a fraction of what its own counts allow for a group.
    double own_utilization(const PlacementContext&, const ServerState&, double share) const;
    /// Returns the load of all balancers on the server, as a fraction of what their counts allow for a group.
    double fleet_utilization(const PlacementContext&, const ServerState&, double share) const;

    /// Returns whether the server may take the request, see FairShares::may_take.
    bool is_open(const PlacementContext&, ServerIndex) const;
    /// Returns whether the request would put the server above its load limit.
    bool is_slow(const PlacementContext&, ServerIndex) const;
    /// Returns whether to treat a server that reports no latency as slow. A server without connections of
    /// this balancer reports nothing to it; while much of the fleet is slow, it is taken to be slow as often
    /// as the servers that do report are. Otherwise, with hundreds of balancers, connections that one
    /// balancer migrates off a slow server are placed there again by another.
    bool is_probably_slow(const PlacementContext&, ServerIndex);

    const PolicyConfig& config_;
    const ServerTable& servers_;
    const ServerLoads& loads_;
    const WarmupAdmission& warmup_;
    const FairShares& shares_;
    const GroupTable& groups_;
    RendezvousRankings& rankings_;
    GossipCoordinator& gossip_;
    Pcg32& random_;
};

}  // namespace headrouter
