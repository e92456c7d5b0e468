// Outlier detection: what the attempts sent to one server tell of its health.
#pragma once
#include <algorithm>
#include <cmath>
#include <cstddef>

#include "base/time.h"

namespace headrouter {

struct StateAccess;

/// The failure history of one server. After a failure the server gets nothing for a short backoff and then
/// less than its share until the failure penalty has faded; it is ejected for longer when it keeps almost
/// nothing of what it is sent over a whole rebalance cycle.
class OutlierDetector {
   public:
    /// Of a failed attempt. One of full load says less about a server than one that was lost.
    static constexpr double penalty_failed = 1, penalty_at_capacity = 0.5;

    /// An attempt failed: adds `penalty` and starts the next, longer backoff.
    void on_failure(TimePoint now, double penalty);
    /// An established connection was reset while the server still had `connections` others of this balancer.
    /// True where so many were reset in a row that its process must have died.
    bool on_reset(TimePoint now, size_t connections);
    /// An attempt was established: ends the backoff and forgives a part of the penalty.
    void on_established(TimePoint now);
    /// Another process has taken the server's place: forgets the failures of the old one.
    void on_restart();

    void count_sent() { ++sent_in_cycle_; }
    void count_lost() { ++lost_in_cycle_; }
    /// Judges what was sent and lost since the last call. True where the server is ejected for it.
    bool end_cycle(TimePoint now);

    /// Whether the server may get a new attempt. One whose last attempts failed gets one probe at a time.
    bool is_selectable(TimePoint now, int pending_attempts) const;
    /// Whether nothing of its failures counts any more, so that it needs no look of its own.
    bool is_clear(TimePoint now) const;
    /// Failures in a row, each fading with a half-life of some seconds; 0 for none.
    double failure_penalty(TimePoint now) const {
        return failure_penalty_ * std::exp2(-((now - penalty_at_) / penalty_half_life));
    }
    /// The part of its share that the server gets, between 0 and 1.
    double trust(TimePoint now) const { return 1 / (1 + failure_penalty(now)); }
    bool is_failing() const { return consecutive_failures_ > 0; }
    bool is_ejected(TimePoint now) const { return now < ejected_until_; }
    bool is_in_backoff(TimePoint now) const { return now < backoff_until_; }

   private:
    friend struct StateAccess;
    friend struct PolicyInspector;
    // A reset costs half of a failed attempt, and an established attempt wins as much back.
    static constexpr double penalty_reset = 0.5, penalty_forgiven = 0.5, largest_penalty = 8;
    static constexpr double negligible_penalty = 0.02;
    // The first backoff is doubled with each failure in a row, up to the longest.
    static constexpr Duration first_backoff = seconds(0.4), longest_backoff = seconds(3);
    static constexpr int most_failures_counted = 10;
    // Resets that follow one another within this time are those of one crash.
    static constexpr Duration crash_window = seconds(1);
    static constexpr int fewest_resets_of_crash = 2;
    // Design 7: a server that keeps less than a tenth of twenty attempts or more is out for three cycles.
    static constexpr int fewest_sent_to_judge = 20;
    static constexpr double least_kept = 0.1;
    static constexpr Duration ejection_time = seconds(30);

    static constexpr Duration penalty_half_life = seconds(4);

    double failure_penalty_ = 0;  // as of penalty_at_
    TimePoint penalty_at_;
    int consecutive_failures_ = 0;
    TimePoint backoff_until_, ejected_until_;
    int sent_in_cycle_ = 0, lost_in_cycle_ = 0;
    int consecutive_resets_ = 0;
    TimePoint reset_at_;
};

}  // namespace headrouter
