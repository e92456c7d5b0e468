// Placement (design 3): which server gets a request's next attempt.
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
    /// Failed the request's key a moment ago, if the request comes back in the pause.
    std::optional<ServerIndex> failed_server;
    double gossip_trust = 0;  ///< in the fleet's load as published, 0 to 1
};

/// Chooses servers; changes nothing but the state of `random` and what the rankings keep.
class Placement {
   public:
    /// The parts it looks at, which must outlive it.
    struct Parts {
        const PolicyConfig& config;
        const ServerTable& servers;
        const FairShares& shares;
        const GroupTable& groups;
        RendezvousRankings& rankings;
        GossipCoordinator& gossip;
        Pcg32& random;
    };
    explicit Placement(const Parts& parts)
        : config_(parts.config),
          servers_(parts.servers),
          shares_(parts.shares),
          groups_(parts.groups),
          rankings_(parts.rankings),
          gossip_(parts.gossip),
          random_(parts.random) {}

    /// A cold server for which this balancer has a warm-up permit, to be used before all others; if any.
    /// Where shares are far below one connection, permits for a cold server go round among hundreds of
    /// balancers. Who has one goes there first: were the server drawn like all others then, nobody would warm
    /// it up.
    std::optional<ServerIndex> choose_cold(const PlacementContext&) const;
    /// Any server but a cold one by its permit alone; none where the request is better rejected. Where
    /// packets pass through, a key is ranked like a group, so that another balancer sends them to the same
    /// server.
    std::optional<ServerIndex> choose(const PlacementContext&);
    /// Whether the server has room for the request; `in_group`: with a group's members, which go further.
    bool has_room(const PlacementContext&, ServerIndex server, bool in_group) const;

   private:
    friend struct PolicyInspector;
    // Servers tried at random before all are looked at, against a pass over a large fleet for every request.
    static constexpr int random_tries = 16;
    // Servers tried that have headroom over all balancers, before the own share decides.
    static constexpr int headroom_tries = 3;
    // How far over its share, and by how many of its connections, a server may go for a group: by the own
    // counts, and where those of all balancers are known.
    static constexpr double own_slack = 1.25, own_room = 2, fleet_slack = 3, fleet_room = 8;
    // The most that the own counts weigh against those of all balancers, in parts of what they allow.
    static constexpr double most_own_use = 2;
    // How much larger than a group's part of the load its preferred servers' shares are.
    static constexpr double preferred_margin = 1.3;
    static constexpr double epsilon = 1e-9;  // in place of a share or weight of zero that is divided by

    /// The first servers of a group's ranking, whose shares together hold the group.
    struct PreferredServers {
        size_t end = 0;  ///< of their part of the ranking's order
        int slow = 0;
    };
    /// Random among the servers below share, else the least over. A share under one is below it for a whole
    /// connection by chance: the subset draw keeps the sum over all balancers right.
    std::optional<ServerIndex> choose_at_random(const PlacementContext&);
    std::optional<ServerIndex> choose_by_headroom(const PlacementContext&);
    /// Members of a group share work on the server that has them, and balancers share nothing, so a group's
    /// ranking is drawn from its name: every balancer draws the same. By preference: servers that have the
    /// group, as its work is there anyway; its preferred servers; any other below share.
    std::optional<ServerIndex> choose_for_group(const PlacementContext&, const std::string& ranking_name);
    /// The ranking's first servers whose shares hold the group's part of this balancer's load. A balancer
    /// that has few connections cannot tell what part of all belongs to a group.
    std::optional<ServerIndex> choose_preferred(const PlacementContext&, const fleet_load::RendezvousRanking&,
                                                PreferredServers&) const;
    /// The best ranked of the servers that have the group's members; only near ones unless `all_zones`.
    std::optional<ServerIndex> choose_with_members(const PlacementContext&,
                                                   const fleet_load::RendezvousRanking&,
                                                   bool all_zones) const;
    /// Where every server is slow already: none, as more would serve nobody. Where messages take long by
    /// themselves a server reports latencies that its load has no part in; it comes last, but before a reject
    /// (wide, silent days).
    std::optional<ServerIndex> choose_least_over_share(const PlacementContext&,
                                                       const fleet_load::RendezvousRanking*) const;
    /// By what all balancers have there, as far as that is trusted, and by the own counts.
    bool has_room_in_fleet(const PlacementContext&, ServerIndex server, double share) const;
    bool is_open(const PlacementContext&, ServerIndex server) const;
    bool is_slow(const PlacementContext& context, ServerIndex server) const {
        const ServerState& state = servers_[server];
        if (!state.degraded_index) return false;
        const std::optional<double>& limit = context.fleet.degraded[*state.degraded_index].load_limit;
        return limit && servers_.load_on(state) + context.load > *limit;
    }
    /// A server on which this balancer has nothing reports nothing to it. It is as likely slow as those that
    /// it hears of: otherwise, with hundreds of balancers, whatever one migrates off another brings back
    /// (i61ff1f).
    bool is_probably_slow(const PlacementContext&, ServerIndex server);
    /// Of two servers, the one with the lower draw for its weight is this balancer's before the other.
    double subset_rank(ServerIndex server) const {
        return servers_[server].subset_draw / servers_[server].weight;
    }

    const PolicyConfig& config_;
    const ServerTable& servers_;
    const FairShares& shares_;
    const GroupTable& groups_;
    RendezvousRankings& rankings_;
    GossipCoordinator& gossip_;
    Pcg32& random_;
};

}  // namespace headrouter
