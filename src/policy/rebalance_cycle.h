/// Runs the rebalance cycle: once per cycle, ejects outliers and migrates surplus off servers above their
/// share during the cycle's active phase.
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

/// Decides which connections are migrated off which server, and when. The caller performs the migrations: on
/// each migrate_next timer, the caller calls select(), migrates the returned connection and calls
/// on_migrated().
///
/// Loads are in mean load units.
class RebalanceCycle {
   public:
    /// A server is saturated if its load exceeds this multiple of its share.
    static constexpr double saturation_band = 1.05;

    /// The referenced objects must outlive the RebalanceCycle.
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
    /// Begins a cycle: ejects the outliers of the last cycle, and sets the timers for this cycle's migrations
    /// and for the next cycle.
    void begin(TimePoint now);
    /// Ejects the servers that kept almost none of the attempts sent to them in the last cycle. If any server
    /// is ejected, clears the recorded excesses and the protection of connections, which no longer apply.
    void eject_outliers(TimePoint now);
    /// Starts to drain the surplus of each server above its share.
    void plan_migrations(TimePoint now);
    /// Starts to migrate `load` off a server in about `steps` steps within `duration`.
    void start_drain(TimePoint now, ServerIndex, double load, int steps, Duration duration);

    /// Returns the next connection to migrate off the server; 0 if there is none, and the drain has ended.
    RequestId select(TimePoint now, ServerIndex);
    /// Records that the selected connection was migrated, which had the given load.
    void on_migrated(TimePoint now, ServerIndex, double load);
    /// Returns the connection whose migration off the server has the highest value; 0 if there is none.
    ///
    /// Protected connections stay until their server is balanced, and are migrated first after that. Of the
    /// others, the one that frees the most load is selected, because each migration has a cost. Protection
    /// applies to balancing only: on a slow server, where all connections are served badly, protected
    /// connections are merely migrated last.
    RequestId select_migration(TimePoint now, const ServerState&);

   private:
    /// Starts to drain the server if its load is too far above `share`.
    void plan_drain(TimePoint now, ServerIndex, double share);
    /// Returns the load that the server saves without the connection. Load beyond the remaining surplus does
    /// not count. The group's own load is divided among its members on the server, so the last member frees
    /// all of it.
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
