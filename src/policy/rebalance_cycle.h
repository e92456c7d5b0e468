/// The rebalance cycle: once a cycle outliers are ejected, and servers above their share have a surplus
/// migrated off during the cycle's active phase.
#pragma once
#include "affinity/group_table.h"
#include "base/pcg32.h"
#include "policy/degraded_servers.h"
#include "policy/fair_shares.h"
#include "policy/policy_actions.h"
#include "policy/request_state.h"
#include "policy/server_loads.h"
#include "policy/warmup_admission.h"

namespace headrouter {

/// Decides which connections are migrated off which server, and when. The migrations themselves are up to the
/// caller: for each migrate_next timer select(), then migrate the connection, then on_migrated().
///
/// Loads are in mean load units.
class RebalanceCycle {
   public:
    /// A server is saturated above so many times its share.
    static constexpr double saturation_band = 1.05;

    /// All must outlive it.
    struct Parts {
        ServerTable& servers;
        const ServerLoads& loads;
        WarmupAdmission& warmup;
        DegradedServers& degraded;
        FairShares& shares;
        const GroupTable& groups;
        RequestTable& requests;
        PolicyActions& actions;
        Pcg32& random;
    };
    explicit RebalanceCycle(const Parts& parts)
        : servers_(parts.servers),
          loads_(parts.loads),
          warmup_(parts.warmup),
          degraded_(parts.degraded),
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
    void start_drain(TimePoint now, ServerIndex, double load, int steps, Duration duration);

    /// The next connection to migrate off the server; zero: none, and the drain has ended.
    RequestId select(TimePoint now, ServerIndex);
    /// The selected connection, of that load, was migrated.
    void on_migrated(TimePoint now, ServerIndex, double load);
    /// The connection whose migration off the server is worth most; zero: none.
    ///
    /// Protected connections stay until their server is balanced and go first after that. Of the others, the
    /// one that frees most load goes, as each migration has a price. Protection is from balancing: on a slow
    /// server, where nobody is served well, it only means going last.
    RequestId select_migration(TimePoint now, const ServerState&);

   private:
    /// Starts to drain the server if it is too far above `share`.
    void plan_drain(TimePoint now, ServerIndex, double share);
    /// What the server gains by the connection's end. More than the surplus is no gain; a group's last member
    /// takes the group's own load along.
    double load_freed_by(const RequestState&, const ServerState&) const;

    ServerTable& servers_;
    const ServerLoads& loads_;
    WarmupAdmission& warmup_;
    DegradedServers& degraded_;
    FairShares& shares_;
    const GroupTable& groups_;
    RequestTable& requests_;
    PolicyActions& actions_;
    Pcg32& random_;
};

}  // namespace headrouter
