// Fair shares (design 1): what part of this balancer's load each server should have, at one moment and for
// one request.
#pragma once
#include <optional>
#include <vector>

#include "policy/server_table.h"

namespace headrouter {

/// What one decision sees of the fleet. Loads and shares in mean load units.
struct FleetView {
    /// A server that needs a look of its own.
    struct DegradedServer {
        ServerIndex server;
        double load, share;
        std::optional<double> load_limit;
        bool is_counted;  ///< has a share
        bool is_open;     ///< may take this request
    };
    double total_load = 0;                       ///< this balancer's, the request's counted in
    double share_per_weight = 0;                 ///< of a sound server
    int open_servers = 0;                        ///< that may take the request
    int slow_servers = 0;                        ///< of these, at their load limits
    std::optional<ServerIndex> excluded_server;  ///< where the request's last attempt failed
    double slow_part = 0;                        ///< of the servers whose latency this balancer hears of
    bool is_mostly_slow = false;                 ///< much of the fleet is slow
    std::vector<DegradedServer> degraded;
};

/// Computes views of the fleet.
class FairShares {
   public:
    /// `config` and `servers` must outlive it.
    FairShares(const PolicyConfig& config, ServerTable& servers) : config_(config), servers_(servers) {}

    /// The fleet as it is for this request; null: as it is for balancing. Where no server may take the
    /// request, those in backoff and the one that failed it are counted too (panic mode). Updates which
    /// servers are degraded, and uses up warm-up permits that have lapsed.
    FleetView view(TimePoint now, const RequestState* request);
    /// The server's share in that view, as long as it is the latest.
    double share(const FleetView& fleet, ServerIndex server) const {
        const ServerState& state = servers_[server];
        if (state.degraded_index) return fleet.degraded[*state.degraded_index].share;
        return fleet.share_per_weight * state.weight;
    }
    /// Whether the request may run at the server, if a first attempt of it may have run elsewhere.
    bool is_in_dedup_scope(const RequestState&, const ServerState&) const;

   private:
    // Servers heard of beyond those in use, against judging by one or two.
    static constexpr double least_heard = 1;
    // How many servers, and which part of those heard of, are much of the fleet when they are slow: one or
    // two of a handful say little about the others.
    static constexpr double fewest_mostly_slow = 3, least_part_mostly_slow = 0.25;

    /// The servers that the request is bound to by an attempt that may have run.
    DedupScope dedup_scope(const RequestState&) const;
    /// The shares of sound servers follow from sums kept up to date by event; what differs is taken off the
    /// sums.
    FleetView view_in_mode(TimePoint now, const RequestState* request, bool panic_mode);
    /// `share` is the server's weight here; distribute() makes the share of it.
    FleetView::DegradedServer view_degraded(TimePoint now, ServerIndex index, const RequestState* request,
                                            bool is_candidate, bool panic_mode);
    /// Weighted shares, none above its load limit; what a limit keeps off goes to the others by weight.
    static void distribute(FleetView&, double weights);
    void count_slow(FleetView&, const RequestState* request) const;

    const PolicyConfig& config_;
    ServerTable& servers_;
};

}  // namespace headrouter
