/// Aggregates values over a sliding time window, in a ring of buckets of equal width.
#pragma once
#include <algorithm>
#include <array>
#include <cstdint>
#include <numeric>

#include "base/time.h"

namespace headrouter {

/// Holds the buckets of a SlidingWindow.
template <int bucket_count>
struct SlidingWindowState {
    Duration bucket_width;
    int64_t newest_bucket = 0;                   ///< number of the newest, counted from the clock's zero
    std::array<double, bucket_count> buckets{};  ///< ring: bucket k is at index k modulo `bucket_count`
};

/// Keeps `bucket_count` buckets, adds to the newest one and drops the oldest one as time advances. The window
/// covers between `bucket_count - 1` and `bucket_count` bucket widths. Every call takes the current time; a
/// time before that of an earlier call uses the newest bucket of that call. Not thread-safe.
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

    /// Raises the newest bucket to `amount` if it is lower.
    void raise_to(TimePoint now, double amount) {
        advance(now);
        newest() = std::max(newest(), amount);
    }

    [[nodiscard]] double sum(TimePoint now) {
        advance(now);
        return std::accumulate(state_.buckets.begin(), state_.buckets.end(), 0.0);
    }

    /// Returns the value of the largest bucket.
    [[nodiscard]] double max_bucket(TimePoint now) {
        advance(now);
        return *std::max_element(state_.buckets.begin(), state_.buckets.end());
    }

    /// Sets every bucket to zero.
    void clear() { state_.buckets.fill(0); }

   private:
    // Works for negative bucket numbers too, which are times before the clock's zero.
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
