/// Computes fair shares: the part of this balancer's load that each server should have, at one moment and for
/// one request.
#pragma once
#include <optional>
#include <vector>

#include "policy/degraded_servers.h"
#include "policy/server_loads.h"
#include "policy/server_table.h"
#include "policy/warmup_admission.h"

namespace headrouter {

/// Holds the state of the fleet for one placement or rebalancing decision. Loads and shares are in mean load
/// units.
struct FleetView {
    /// A server that is failing, cold or has a load limit (see DegradedServers).
    struct DegradedServer {
        ServerIndex server;
        double load = 0;
        double weight = 0;  ///< reduced for slow start and failures; 0 if not `is_counted`
        double share = 0;   ///< in proportion to `weight`, at most `load_limit`
        std::optional<double> load_limit;
        bool is_counted = false;  ///< gets a share
        bool is_open = false;     ///< may take the request
    };
    double total_load = 0;                       ///< of this balancer, including the request's load
    double counted_weight = 0;                   ///< sum over all servers that get a share
    double share_per_weight = 0;                 ///< for servers below their load limits
    int open_servers = 0;                        ///< number of servers that may take the request
    int slow_servers = 0;                        ///< number of open servers at their load limits
    std::optional<ServerIndex> excluded_server;  ///< server of the request's last attempt, which failed
    double slow_fraction = 0;                    ///< slow_servers / (servers of known latency + 1)
    bool is_mostly_slow = false;                 ///< a considerable part of the fleet is slow
    std::vector<DegradedServer> degraded;        ///< indexed by ServerState::degraded_index
};

/// Computes a FleetView for each decision, and servers' shares in that view.
class FairShares {
   public:
    /// The referenced objects must outlive the FairShares.
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

    /// Returns the view of the fleet for `request`; for rebalancing if `request` is null. If no server may
    /// take the request, also counts servers in backoff, ejected servers and the server where the last
    /// attempt failed (panic mode). Updates the list of degraded servers and drops expired warm-up permits.
    FleetView view(TimePoint now, const RequestState* request);
    /// Returns the server's share in `fleet`, which must be the latest view.
    double share(const FleetView&, ServerIndex) const;
    /// Returns whether the server may take the request; the view must be the latest and computed for that
    /// request.
    bool may_take(const FleetView&, const RequestState&, ServerIndex) const;

   private:
    /// Returns whether the server may run the request, regardless of its failures and its slow start.
    bool is_candidate(const FleetView&, const RequestState*, ServerIndex) const;
    /// Returns whether the deduplication scope lets the request run on the server, given that an earlier
    /// attempt may have run on another server.
    bool is_in_dedup_scope(const RequestState&, const ServerState&) const;
    /// Returns the deduplication scope that an attempt that may have run restricts the request to; `all` if
    /// no attempt may have run.
    DedupScope dedup_scope(const RequestState&) const;

    /// Computes the view with or without panic mode. Starts from the sums over all active servers, which are
    /// updated on events, then subtracts each degraded server and adds it again with its reduced weight.
    FleetView view_in_mode(TimePoint now, const RequestState*, bool panic_mode);
    /// Subtracts active servers that are no candidates for the request: the excluded server and those outside
    /// the request's deduplication scope.
    void exclude_non_candidates(FleetView&, const RequestState*) const;
    /// Returns the degraded server's entry in the view, with a share of 0 until distribute() computes it.
    FleetView::DegradedServer view_degraded(TimePoint now, ServerIndex, const RequestState*,
                                            bool is_candidate, bool panic_mode);
    /// Computes weighted shares. A load limit caps a server's share; the load above the limit is distributed
    /// to the other servers by weight.
    static void distribute(FleetView&);
    /// Sets `slow_servers`, `slow_fraction` and `is_mostly_slow`.
    void count_slow_servers(FleetView&, const RequestState*) const;

    const PolicyConfig& config_;
    ServerTable& servers_;
    const ServerLoads& loads_;
    const WarmupAdmission& warmup_;
    DegradedServers& degraded_;
};

}  // namespace headrouter
