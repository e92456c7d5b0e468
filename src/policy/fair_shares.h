/// Fair shares: what part of this balancer's load each server should have, at one moment and for one request.
#pragma once
#include <optional>
#include <vector>

#include "policy/degraded_servers.h"
#include "policy/server_loads.h"
#include "policy/server_table.h"
#include "policy/warmup_admission.h"

namespace headrouter {

/// What one decision sees of the fleet. Loads and shares are in mean load units.
struct FleetView {
    /// A server that needs a look of its own.
    struct DegradedServer {
        ServerIndex server;
        double load = 0;
        double weight = 0;  ///< less for slow start and failures; 0 where it is not counted
        double share = 0;   ///< by that weight, up to its load limit
        std::optional<double> load_limit;
        bool is_counted = false;  ///< has a share
        bool is_open = false;     ///< may take this request
    };
    double total_load = 0;                       ///< this balancer's, the request's counted in
    double counted_weight = 0;                   ///< of all servers that have a share
    double share_per_weight = 0;                 ///< of a server below its load limit
    int open_servers = 0;                        ///< that may take the request
    int slow_servers = 0;                        ///< of these, at their load limits
    std::optional<ServerIndex> excluded_server;  ///< where the request's last attempt failed
    double slow_fraction = 0;                    ///< slow_servers over those whose latency is known here
    bool is_mostly_slow = false;                 ///< much of the fleet is slow
    std::vector<DegradedServer> degraded;        ///< by ServerState::degraded_index
};

/// Computes views of the fleet.
class FairShares {
   public:
    /// All must outlive it.
    struct Parts {
        const PolicyConfig& config;
        ServerTable& servers;
        const ServerLoads& loads;
        const WarmupAdmission& warmup;
        DegradedServers& degraded;
    };
    explicit FairShares(const Parts& parts)
        : config_(parts.config),
          servers_(parts.servers),
          loads_(parts.loads),
          warmup_(parts.warmup),
          degraded_(parts.degraded) {}

    /// The fleet as it is for this request; null: as it is for balancing. Where no server may take the
    /// request, those in backoff or ejected and the one that failed it last are counted too (panic mode).
    /// Updates which servers are degraded, and drops warm-up permits that have lapsed.
    FleetView view(TimePoint now, const RequestState* request);
    /// The server's share in that view, as long as it is the latest.
    double share(const FleetView&, ServerIndex) const;
    /// Whether the server may take the request, in that view of it.
    bool may_take(const FleetView&, const RequestState&, ServerIndex) const;

   private:
    /// Whether the server may run the request, whatever state its failures and its slow start are in.
    bool is_candidate(const FleetView&, const RequestState*, ServerIndex) const;
    /// Whether the request may run at the server, if a first attempt of it may have run elsewhere.
    bool is_in_dedup_scope(const RequestState&, const ServerState&) const;
    /// The servers that the request is bound to by an attempt that may have run.
    DedupScope dedup_scope(const RequestState&) const;

    /// What sound servers get follows from sums kept by event; each server that differs is taken off them.
    FleetView view_in_mode(TimePoint now, const RequestState*, bool panic_mode);
    void leave_out_others(FleetView&, const RequestState*) const;
    /// Its share is yet to come, by distribute().
    FleetView::DegradedServer view_degraded(TimePoint now, ServerIndex, const RequestState*,
                                            bool is_candidate, bool panic_mode);
    /// Weighted shares, none above its load limit; what a limit keeps off goes to the others by weight.
    static void distribute(FleetView&);
    void count_slow(FleetView&, const RequestState*) const;

    const PolicyConfig& config_;
    ServerTable& servers_;
    const ServerLoads& loads_;
    const WarmupAdmission& warmup_;
    DegradedServers& degraded_;
};

}  // namespace headrouter
