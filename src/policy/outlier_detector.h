/// Outlier detection: what the attempts sent to one server tell of its health.
#pragma once
#include <cstddef>

#include "base/time.h"

namespace headrouter {

/// The failure history of one server. What the server gets:
///
/// - after a failed attempt or a reset: nothing, until its backoff ends;
/// - after the backoff: one probing attempt at a time, until an attempt is established;
/// - after any failure: less of its share, by the penalty, until the penalty has faded;
/// - after a rebalance cycle in which it kept almost nothing: nothing, until its ejection ends.
class OutlierDetector {
   public:
    struct State {
        double failure_penalty = 0;  ///< as of `penalty_at`
        TimePoint penalty_at;
        int consecutive_failures = 0;
        TimePoint backoff_until;
        TimePoint ejected_until;
        int sent_in_cycle = 0;
        int lost_in_cycle = 0;
        int consecutive_resets = 0;
        TimePoint reset_at;  ///< the latest
    };

    [[nodiscard]] const State& state() const { return state_; }
    void restore(const State& state) { state_ = state; }

    /// The penalty of an attempt that was lost.
    static constexpr double penalty_failed = 1;
    /// The penalty of an attempt that a full server rejected, which says less of its health.
    static constexpr double penalty_at_capacity = 0.5;

    /// An attempt failed: adds `penalty` and starts the next, longer backoff.
    void on_failure(TimePoint now, double penalty);
    /// An established connection was reset while the server still had `connections` others of this balancer.
    /// True where so many were reset in a row that its process must have died.
    bool on_reset(TimePoint now, size_t connections);
    /// An attempt was established: ends the backoff and forgives a part of the penalty.
    void on_established(TimePoint now);
    /// Another process has taken the server's place: ends penalty, backoff and ejection. The counts of the
    /// cycle stay.
    void on_restart();

    void count_sent() { ++state_.sent_in_cycle; }
    void count_lost() { ++state_.lost_in_cycle; }
    /// Judges what was sent and lost since the last call. True where the server is ejected for it.
    bool end_cycle(TimePoint now);

    /// Whether the server's failures let it have a new attempt, while it has `pending_attempts`.
    bool allows_attempt(TimePoint now, int pending_attempts) const;
    /// Whether no failure counts any more, so that the server needs no look of its own.
    bool is_clear(TimePoint now) const;
    /// Failures in a row, each fading with a half-life of some seconds; 0 for none.
    double failure_penalty(TimePoint now) const;
    /// The part of its share that the server gets, between 0 and 1.
    double trust(TimePoint now) const { return 1 / (1 + failure_penalty(now)); }
    bool is_failing() const { return state_.consecutive_failures > 0; }
    bool is_ejected(TimePoint now) const { return now < state_.ejected_until; }
    bool is_in_backoff(TimePoint now) const { return now < state_.backoff_until; }

   private:
    /// The penalty of a reset connection.
    static constexpr double penalty_reset = 0.5;
    /// What an established attempt takes off the penalty.
    static constexpr double penalty_forgiven = 0.5;
    static constexpr double largest_penalty = 8;
    /// A server with less than this counts as sound.
    static constexpr double negligible_penalty = 0.02;
    static constexpr Duration penalty_half_life = seconds(4);

    /// Doubled with each further failure in a row.
    static constexpr Duration first_backoff = seconds(0.4);
    static constexpr Duration longest_backoff = seconds(3);
    static constexpr int most_failures_counted = 10;

    /// Resets that follow one another within this time are those of one crash.
    static constexpr Duration crash_window = seconds(1);
    static constexpr int fewest_resets_of_crash = 2;

    /// A cycle with fewer attempts does not judge a server.
    static constexpr int fewest_sent_to_judge = 20;
    /// The part of its attempts that a server has to keep.
    static constexpr double least_kept = 0.1;
    static constexpr Duration ejection_time = seconds(30);

    State state_;
};

}  // namespace headrouter
