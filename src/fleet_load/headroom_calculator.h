/// The aggregator's part: from the reports of many balancers to each server's headroom.
#pragma once
#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

#include "base/sliding_window.h"
#include "base/time.h"
#include "fleet_load/eligible_server.h"
#include "gossip/gossip_message.h"

namespace headrouter::fleet_load {

/// Keeps the latest report of each balancer and computes headroom from them, once a round. Loads are in mean
/// load units. Not thread-safe.
class HeadroomCalculator {
   public:
    /// A balancer that reports its loads to this one.
    struct Reporter {
        TimePoint received_at;  ///< of the latest report; zero before the first
        uint32_t timestamp = 0;
        std::vector<gossip::ServerLoad> loads;

        /// Whether its latest report still counts.
        [[nodiscard]] bool is_current(TimePoint now) const;
    };

    struct State {
        std::vector<Reporter> reporters;        ///< by replica index
        SlidingWindow<4> arrivals{seconds(1)};  ///< connections that came up at all reporters
        TimePoint computed_at;
        TimePoint enough_reporters_at;  ///< zero while there are too few
    };

    [[nodiscard]] const State& state() const { return state_; }
    void restore(State state) { state_ = std::move(state); }

    /// The reports that were received no longer count.
    void forget_reports() { state_.reporters.clear(); }
    /// A new epoch: reports are gathered anew, as who has this balancer for its aggregator reports again.
    void begin_epoch();
    /// Takes the load report of a replica, one of so many, unless it is older than the last.
    void on_load_report(TimePoint now, int from, int replica_count, const gossip::Message&);

    /// Each server's headroom, in the order of `servers`, where a round is over and enough balancers have
    /// reported.
    [[nodiscard]] std::optional<std::vector<int>> compute(TimePoint now, int replica_count,
                                                          const std::vector<EligibleServer>& servers);
    /// The replica indexes of those whose latest report still counts.
    [[nodiscard]] std::vector<int> current_reporters(TimePoint now) const;

   private:
    struct ServerTotal;
    struct FleetTotals;

    void count_arrivals(TimePoint now, const Reporter&, const std::vector<gossip::ServerLoad>&);
    FleetTotals sum_reports(TimePoint now) const;
    /// Whether so many have reported for long enough that the sum is of all, not of the earliest.
    bool has_gathered(TimePoint now, int reporters, int replica_count);
    std::vector<int> headroom_for(TimePoint now, const FleetTotals&, const std::vector<EligibleServer>&);
    /// Connections that come up at all reporters within a round, as they did lately.
    double arrivals_per_round(TimePoint now);

    State state_;
};

}  // namespace headrouter::fleet_load
