/// Aggregates over a sliding window of time, kept in a ring of buckets of equal width.
#pragma once
#include <algorithm>
#include <array>
#include <cstdint>
#include <numeric>

#include "base/time.h"

namespace headrouter {

/// The buckets of a SlidingWindow.
template <int bucket_count>
struct SlidingWindowState {
    Duration bucket_width;
    int64_t newest_bucket = 0;                   ///< number of the newest one, counted from the clock's zero
    std::array<double, bucket_count> buckets{};  ///< a ring: bucket k is at k modulo `bucket_count`
};

/// A window of `bucket_count` buckets, the newest of which is filled and the oldest dropped as time goes on.
/// The window so covers between `bucket_count - 1` and `bucket_count` bucket widths. Every call takes the
/// present; one that lies before an earlier call's counts as that one's bucket. Not thread-safe.
template <int bucket_count>
class SlidingWindow {
   public:
    using State = SlidingWindowState<bucket_count>;

    explicit SlidingWindow(Duration bucket_width) { state_.bucket_width = bucket_width; }

    [[nodiscard]] const State& state() const { return state_; }
    void restore(const State& state) { state_ = state; }

    /// Adds `amount` to the newest bucket.
    void add(TimePoint now, double amount) {
        advance(now);
        newest() += amount;
    }

    /// Raises the newest bucket to `amount`, where it is lower.
    void raise_to(TimePoint now, double amount) {
        advance(now);
        newest() = std::max(newest(), amount);
    }

    [[nodiscard]] double sum(TimePoint now) {
        advance(now);
        return std::accumulate(state_.buckets.begin(), state_.buckets.end(), 0.0);
    }

    /// The largest single bucket.
    [[nodiscard]] double max_bucket(TimePoint now) {
        advance(now);
        return *std::max_element(state_.buckets.begin(), state_.buckets.end());
    }

    /// Empties every bucket.
    void clear() { state_.buckets.fill(0); }

   private:
    // Also for times before the clock's zero.
    static size_t ring_index(int64_t bucket) {
        return static_cast<size_t>(((bucket % bucket_count) + bucket_count) % bucket_count);
    }

    double& newest() { return state_.buckets[ring_index(state_.newest_bucket)]; }

    void advance(TimePoint now) {
        const int64_t bucket = now.ns / state_.bucket_width.ns;
        const int64_t expired = std::min<int64_t>(bucket - state_.newest_bucket, bucket_count);
        for (int64_t k = 0; k < expired; ++k) state_.buckets[ring_index(bucket - k)] = 0;
        state_.newest_bucket = std::max(state_.newest_bucket, bucket);
    }

    State state_;
};

}  // namespace headrouter
