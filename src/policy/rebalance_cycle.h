// The rebalance cycle (design 4 to 7): once a cycle outliers are ejected, and servers above their share have
// a surplus migrated off during the cycle's active phase.
#pragma once
#include "affinity/group_table.h"
#include "base/pcg32.h"
#include "policy/fair_shares.h"
#include "policy/policy_actions.h"
#include "policy/request_state.h"

namespace headrouter {

/// Decides which connections are migrated off which server, and when. The migrations themselves are up to the
/// caller: for each migrate_next timer select(), then migrate the connection, then on_migrated().
class RebalanceCycle {
   public:
    /// A server is saturated above so many times its share (design 2).
    static constexpr double saturation_band = 1.05;

    /// All must outlive it.
    struct Parts {
        ServerTable& servers;
        FairShares& shares;
        const GroupTable& groups;
        RequestTable& requests;
        PolicyActions& actions;
        Pcg32& random;
    };
    explicit RebalanceCycle(const Parts& parts)
        : servers_(parts.servers),
          shares_(parts.shares),
          groups_(parts.groups),
          requests_(parts.requests),
          actions_(parts.actions),
          random_(parts.random) {}

    /// Sets the timer for the first cycle after `now`.
    void start(TimePoint now);
    /// A cycle begins: judges the last one and sets the timers of this and the next.
    void begin(TimePoint now);
    /// Ejects the servers that kept almost nothing of what they were sent in the last cycle. Where there are
    /// any, what was remembered of surpluses and protected connections no longer holds.
    void eject_outliers(TimePoint now);
    /// Finds the servers above their share and starts to drain their surplus.
    void plan_migrations(TimePoint now);
    /// Migrates `load` off a server in about so many steps within `duration`.
    void start_drain(TimePoint now, ServerIndex server, double load, int steps, Duration duration);

    /// The next connection to migrate off the server; zero: none, and the drain has ended.
    RequestId select(TimePoint now, ServerIndex server);
    /// The selected connection, of that load, was migrated.
    void on_migrated(TimePoint now, ServerIndex server, double load);

   private:
    friend struct PolicyInspector;
    // The grace from a cycle's begin until saturated servers are drained (design 5).
    static constexpr Duration drain_grace = seconds(0.5);
    // Design 5. Ten clients a cycle would empty a server of which one balancer has a handful. The floor, in
    // mean load units, is against groups: a few of one together are an excess wherever the share is under
    // one connection.
    static constexpr double least_excess = 10;
    static constexpr int fewest_migrations = 1;
    // The work that a server has with a group, whatever its members, in mean load units.
    static constexpr double group_load = 4;
    // How much less the migration of a protected connection is worth, in the same units.
    static constexpr double protection_cost = group_load * 4;
    /// Protected connections stay until their server is balanced and go first after that (design 6). Of the
    /// others the one that frees most work, as migrations have a price. Protection is from balancing: on a
    /// slow server it only means going last, as there nobody is served (i14adcf).
    RequestId select_migration(TimePoint now, const ServerState&);
    /// More than the surplus is no gain. A group's last member takes the group's own work along.
    double load_freed_by(const RequestState&, const ServerState&) const;

    ServerTable& servers_;
    FairShares& shares_;
    const GroupTable& groups_;
    RequestTable& requests_;
    PolicyActions& actions_;
    Pcg32& random_;
};

}  // namespace headrouter
