// Compares the requests that one server received from all balancers during its slow start with an upper
// bound. The rule allows N requests within the overload window; the bound is N + 2 * sqrt(N) + 2, since the
// operators attribute an excess up to that to chance.
#pragma once
#include <algorithm>
#include <cmath>
#include <deque>

#include "base/time.h"

namespace headrouter::scenario {

class ColdCount {
   public:
    // `allowed`: number of requests of mean work that the rule allows within `overload_window`.
    ColdCount(double allowed, Duration overload_window, Duration slow_start_time)
        : bound_(allowed + 2 * std::sqrt(allowed) + 2),
          overload_window_(overload_window),
          slow_start_time_(slow_start_time) {}

    void started(TimePoint now) { slow_start_end_ = now + slow_start_time_, recent_.clear(); }
    void sent(TimePoint now) {
        if (now >= slow_start_end_) return;
        recent_.push_back(now);
        while (now - recent_.front() >= overload_window_) recent_.pop_front();
        most_ = std::max(most_, static_cast<double>(recent_.size()) / bound_);
        ++all_;
    }
    // Returns the largest count within one overload window, as a multiple of the bound.
    double most() const { return most_; }
    uint64_t all() const { return all_; }  // requests sent during all slow starts

   private:
    double bound_;
    Duration overload_window_, slow_start_time_;
    TimePoint slow_start_end_;
    std::deque<TimePoint> recent_;
    double most_ = 0;
    uint64_t all_ = 0;
};

}  // namespace headrouter::scenario
