/// Detects failing servers from the outcomes of attempts (outlier detection).
#pragma once
#include <cstddef>

#include "base/time.h"

namespace headrouter {

/// Keeps the failure history of one server and limits what the server is sent:
///
/// - after a failed attempt or a reset: no attempts, until its backoff ends;
/// - after the backoff: one probing attempt at a time, until an attempt is established;
/// - after any failure: a share reduced by the penalty, until the penalty has decayed;
/// - after a rebalance cycle in which it lost almost all attempts: no attempts, until its ejection ends.
class OutlierDetector {
   public:
    struct State {
        double failure_penalty = 0;  ///< value at `penalty_at`
        TimePoint penalty_at;
        int consecutive_failures = 0;
        TimePoint backoff_until;
        TimePoint ejected_until;
        int sent_in_cycle = 0;
        int lost_in_cycle = 0;
        int consecutive_resets = 0;
        TimePoint reset_at;  ///< time of the latest reset
    };

    [[nodiscard]] const State& state() const { return state_; }
    void restore(const State& state) { state_ = state; }

    /// Penalty of a failed attempt.
    static constexpr double penalty_failed = 1;
    /// Penalty of an attempt that the server rejected at capacity, which is weaker evidence of bad health.
    static constexpr double penalty_at_capacity = 0.5;

    /// Handles a failed attempt: adds `penalty` and starts the next, longer backoff.
    void on_failure(TimePoint now, double penalty);
    /// Handles the reset of an established connection; `connections` of this balancer remain on the server.
    /// Returns true if so many connections were reset in a row that the server's process must have crashed.
    bool on_reset(TimePoint now, size_t connections);
    /// Handles an established attempt: ends the backoff and reduces the penalty.
    void on_established(TimePoint now);
    /// Handles the replacement of the server's process: ends penalty, backoff and ejection. The attempt
    /// counts of the present cycle stay.
    void on_restart();

    void count_sent() { ++state_.sent_in_cycle; }
    void count_lost() { ++state_.lost_in_cycle; }
    /// Evaluates the attempts sent and lost since the last call and resets both counts. Returns true if the
    /// server is ejected.
    bool end_cycle(TimePoint now);

    /// Returns whether the server may get a new attempt, given its failures and its `pending_attempts`.
    bool allows_attempt(TimePoint now, int pending_attempts) const;
    /// Returns whether no failure counts any more, so that the server is not degraded by failures.
    bool is_healthy(TimePoint now) const;
    /// Returns the penalty that remains at `now`: the sum of the penalties of past failures, less what
    /// established attempts took off, decayed with `penalty_half_life`; 0 without failures.
    double failure_penalty(TimePoint now) const;
    /// Returns the fraction of its share that the server gets, between 0 and 1.
    double trust(TimePoint now) const { return 1 / (1 + failure_penalty(now)); }
    bool is_failing() const { return state_.consecutive_failures > 0; }
    bool is_ejected(TimePoint now) const { return now < state_.ejected_until; }
    bool is_in_backoff(TimePoint now) const { return now < state_.backoff_until; }

   private:
    /// Penalty of a reset connection.
    static constexpr double penalty_reset = 0.5;
    /// Reduction of the penalty by an established attempt.
    static constexpr double established_penalty_reduction = 0.5;
    static constexpr double max_penalty = 8;
    /// A server with a penalty below this counts as healthy.
    static constexpr double negligible_penalty = 0.02;
    static constexpr Duration penalty_half_life = seconds(4);

    /// Backoff after the first failure; doubled with each further failure in a row.
    static constexpr Duration initial_backoff = seconds(0.4);
    static constexpr Duration max_backoff = seconds(3);
    static constexpr int max_consecutive_failures = 10;

    /// Resets less than this apart count as consecutive resets of one crash.
    static constexpr Duration crash_window = seconds(1);
    static constexpr int min_crash_resets = 2;

    /// Minimum number of attempts sent in a cycle for an ejection.
    static constexpr int min_sent_to_eject = 20;
    /// A server is ejected if it keeps less than this fraction of its attempts.
    static constexpr double min_kept_fraction = 0.1;
    static constexpr Duration ejection_time = seconds(30);

    State state_;
};

}  // namespace headrouter
