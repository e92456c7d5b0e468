/// Elects the balancer that aggregates the loads of the fleet.
#pragma once
#include <cstdint>
#include <optional>

#include "base/time.h"

namespace headrouter::fleet_load {

/// Chooses one balancer's aggregator without election messages: the first candidate that answers, in a random
/// order seeded by the wall clock. Each epoch has its own order, so that no balancer aggregates, or publishes
/// false headroom, indefinitely. Not thread-safe.
class AggregatorElection {
   public:
    /// Index of the last candidate tried at first in an epoch; increases by one each time all candidates up
    /// to it were silent.
    static constexpr int initial_last_candidate = 3;

    struct State {
        std::optional<int64_t> epoch;
        int candidate = 0;  ///< index of the candidate that is now the aggregator
        int last_candidate = initial_last_candidate;
        TimePoint since;  ///< when waiting for the candidate's answer began
    };

    [[nodiscard]] const State& state() const { return state_; }
    void restore(const State& state) { state_ = state; }

    /// Makes the next begin_epoch() begin an epoch; for a changed set of replicas.
    void reset() { state_.epoch.reset(); }
    /// Begins the epoch of `wall_time` with its first candidate; returns false if it is already the current
    /// one.
    bool begin_epoch(TimePoint now, TimePoint wall_time);
    /// Advances to the next candidate if the present one has been silent for too long; `headroom_at` is when
    /// headroom was last received. Returns whether the candidate changed.
    bool replace_silent(TimePoint now, TimePoint headroom_at);
    /// Restarts the wait for the present aggregator's answer.
    void restart_waiting(TimePoint now) { state_.since = now; }

    /// Returns the replica index of the present aggregator.
    int aggregator(int replica_count) const;
    /// Returns whether headroom has arrived since the wait for the present aggregator began.
    bool has_answered(TimePoint headroom_at) const { return headroom_at > state_.since; }

   private:
    State state_;
};

}  // namespace headrouter::fleet_load
