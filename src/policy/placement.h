/// Placement: which server gets a request's next attempt.
#pragma once
#include <optional>
#include <string>

#include "affinity/group_table.h"
#include "base/pcg32.h"
#include "policy/fair_shares.h"
#include "policy/gossip_coordinator.h"
#include "policy/rendezvous_rankings.h"

namespace headrouter {

/// One request to place, and the fleet as it is for it.
struct PlacementContext {
    TimePoint now;
    const RequestState& request;
    const FleetView& fleet;
    double load = 0;  ///< of the request, in mean load units
    /// Failed the request's key a moment ago, if the request comes back in the pause of the cycle.
    std::optional<ServerIndex> failed_server;
    double gossip_trust = 0;  ///< in the fleet's load as published, 0 to 1
};

/// Chooses servers; changes nothing but the state of `random` and what the rankings keep.
///
/// "No server" means that the request is better rejected: more would serve nobody.
class Placement {
   public:
    /// The parts it looks at, which must outlive it.
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

    /// A cold server for which this balancer has a warm-up permit, to be used before all others; none:
    /// choose() decides. Permits for a cold server go round among all balancers. Were the server drawn like
    /// all others, the few that have a permit would hardly ever draw it, and it would stay cold.
    std::optional<ServerIndex> choose_cold(const PlacementContext&) const;
    /// The server for the request. Where packets pass through, a key is ranked like a group, so that another
    /// balancer sends its packets to the same server.
    std::optional<ServerIndex> choose(const PlacementContext&);
    /// Whether the server has room for the request; `in_group`: with a group's members, which go further.
    bool has_room(const PlacementContext&, ServerIndex, bool in_group) const;
    /// Of two servers, the one with the lower draw for its weight is this balancer's before the other.
    double subset_rank(ServerIndex server) const {
        return servers_[server].subset_draw / servers_[server].weight;
    }

   private:
    /// The first servers of a group's ranking, whose shares together hold the group.
    struct PreferredServers {
        size_t end = 0;  ///< of their part of the ranking's order
        int slow = 0;    ///< how many of them are at their load limits
    };

    /// Random among the servers below share, else the least over. A share under one connection is below it
    /// for a whole connection by chance: the subset draw keeps the sum over all balancers right.
    std::optional<ServerIndex> choose_at_random(const PlacementContext&);
    /// For a new request, by the headroom that is published.
    std::optional<ServerIndex> choose_by_headroom(const PlacementContext&);

    /// Members of a group share work on the server that has them, and balancers share nothing, so a group's
    /// ranking is drawn from its name: every balancer draws the same. By preference: servers that have the
    /// group, as its work is there anyway; its preferred servers; any other with room.
    std::optional<ServerIndex> choose_for_group(const PlacementContext&, const std::string& ranking_name);
    /// The ranking's first servers whose shares hold the group's part of this balancer's load.
    std::optional<ServerIndex> choose_preferred(const PlacementContext&, const fleet_load::RendezvousRanking&,
                                                PreferredServers&) const;
    /// The part of this balancer's load that the group should be given room for, in mean load units. A
    /// balancer that has few connections cannot tell what part of all belongs to a group.
    double expected_group_load(const PlacementContext&) const;
    /// The best ranked of the servers that have the group's members; only near ones unless `all_zones`.
    std::optional<ServerIndex> choose_with_members(const PlacementContext&,
                                                   const fleet_load::RendezvousRanking&,
                                                   bool all_zones) const;

    /// The server that would be the least over its share, if one is not slow. Where messages take long by
    /// themselves, a server reports latencies that load has no part in: such a mild one comes last, but
    /// before a reject.
    std::optional<ServerIndex> choose_least_over_share(const PlacementContext&,
                                                       const fleet_load::RendezvousRanking*) const;
    std::optional<ServerIndex> choose_least_over_share(const PlacementContext&,
                                                       const fleet_load::RendezvousRanking*,
                                                       bool allows_mild) const;

    /// By what all balancers have there, as far as that is trusted, and by the own counts.
    bool has_room_in_fleet(const PlacementContext&, const ServerState&, double share) const;
    /// The own load, over what the own counts allow a group there.
    double own_use(const PlacementContext&, const ServerState&, double share) const;
    /// The load of all balancers, over what their counts allow a group there.
    double fleet_use(const PlacementContext&, const ServerState&, double share) const;

    bool is_open(const PlacementContext&, ServerIndex) const;
    /// Whether the request would put the server above its load limit.
    bool is_slow(const PlacementContext&, ServerIndex) const;
    /// A server on which this balancer has nothing reports nothing to it: it is taken to be as likely slow as
    /// those that are heard of. Otherwise, with hundreds of balancers, what one migrates off a slow server
    /// another brings back.
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
