/// Computes each server's headroom from the reports of many balancers; the aggregator's part.
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
    /// Holds the latest report of a balancer that reports its loads to this one.
    struct Reporter {
        TimePoint received_at;  ///< when the latest report arrived; zero before the first
        uint32_t timestamp = 0;
        std::vector<gossip::ServerLoad> loads;

        /// Returns whether its latest report is recent enough to count.
        [[nodiscard]] bool is_current(TimePoint now) const;
    };

    struct State {
        std::vector<Reporter> reporters;        ///< by replica index
        SlidingWindow<4> arrivals{seconds(1)};  ///< new connections at all reporters
        TimePoint computed_at;
        TimePoint enough_reporters_at;  ///< when there were first enough; zero while there are too few
    };

    [[nodiscard]] const State& state() const { return state_; }
    void restore(State state) { state_ = std::move(state); }

    /// Discards all received reports.
    void forget_reports() { state_.reporters.clear(); }
    /// Discards all reports at the start of an epoch, as the balancers whose aggregator this one is report
    /// again.
    void begin_epoch();
    /// Stores the load report of replica `from`, one of `replica_count`, if it is newer than the last one.
    void on_load_report(TimePoint now, int from, int replica_count, const gossip::Message&);

    /// Returns each server's headroom, in the order of `servers`; nullopt until a round has elapsed and
    /// enough balancers have reported.
    [[nodiscard]] std::optional<std::vector<int>> compute(TimePoint now, int replica_count,
                                                          const std::vector<EligibleServer>& servers);
    /// Returns the replica indexes of the balancers whose latest report is recent enough to count.
    [[nodiscard]] std::vector<int> current_reporters(TimePoint now) const;

   private:
    struct ServerTotal;
    struct FleetTotals;

    void count_arrivals(TimePoint now, const Reporter&, const std::vector<gossip::ServerLoad>&);
    FleetTotals sum_reports(TimePoint now) const;
    /// Returns whether enough balancers have been reporting for long enough that the sum covers all
    /// reporters, not only the earliest.
    bool has_gathered(TimePoint now, int reporters, int replica_count);
    std::vector<int> headroom_for(TimePoint now, const FleetTotals&, const std::vector<EligibleServer>&);
    /// Returns the new connections to expect at all reporters within a round, from recent arrivals.
    double arrivals_per_round(TimePoint now);

    State state_;
};

}  // namespace headrouter::fleet_load
