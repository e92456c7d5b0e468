/// Which balancer aggregates the loads of the fleet.
#pragma once
#include <cstdint>
#include <optional>

#include "base/time.h"

namespace headrouter::fleet_load {

/// One balancer's choice of its aggregator, without a message: the first candidate that answers, in an order
/// drawn from the wall clock. Each epoch has an order of its own, so that no balancer serves, or reports
/// falsely, for ever. Not thread-safe.
class AggregatorElection {
   public:
    /// The first candidates of an epoch that are tried; one more each time that all of them were silent.
    static constexpr int initial_last_candidate = 3;

    struct State {
        std::optional<int64_t> epoch;
        int candidate = 0;  ///< which candidate of this epoch is the aggregator
        int last_candidate = initial_last_candidate;
        TimePoint since;  ///< since when the candidate is
    };

    [[nodiscard]] const State& state() const { return state_; }
    void restore(const State& state) { state_ = state; }

    /// The replicas have changed: the next begin_epoch() begins one.
    void reset() { state_.epoch.reset(); }
    /// True where `wall_time` lies in another epoch, which begins then with its first candidate.
    bool begin_epoch(TimePoint now, TimePoint wall_time);
    /// Turns to the next candidate if the present one has been silent for too long; `headroom_at`: when
    /// headroom last came. True where it did.
    bool replace_silent(TimePoint now, TimePoint headroom_at);
    /// Waits for the present aggregator anew.
    void restart_waiting(TimePoint now) { state_.since = now; }

    /// The replica index of the present aggregator.
    int aggregator(int replica_count) const;
    /// Whether the present aggregator has sent headroom.
    bool has_answered(TimePoint headroom_at) const { return headroom_at > state_.since; }

   private:
    State state_;
};

}  // namespace headrouter::fleet_load
