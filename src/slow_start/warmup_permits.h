/// Permits for sending requests to a server in slow start, shared by many balancers without a message between
/// them.
///
/// A server that has just started is overloaded when all balancers together send it more than a multiple of
/// what it can do cold within a short window. Each balancer computes the same rate at which permits are
/// issued for the server since its start, and its own place in the round in which they are issued, one
/// balancer after the other. A permit is valid for one overload window; an unused one lapses. No I/O, and no
/// clock of its own.
#pragma once
#include <cstdint>

#include "base/time.h"

namespace headrouter::slow_start {

/// What the permits are computed from; the same at every balancer but for `replica_index`.
struct SlowStartConfig {
    /// A cold server is overloaded by this multiple of what it can do, sent to it within `overload_window`.
    double overload_multiple = 3;
    Duration overload_window;
    /// From a server's start until it is warm; zero: there is no slow start, and no permit is issued.
    Duration warmup_time;
    uint64_t replica_index = 0;
    /// How many balancers there are, this one included.
    int replica_count = 1;
};

/// What all balancers together may send a server within one overload window, in mean load units;
/// `warm_capacity` is what it carries when warm, in the same unit.
[[nodiscard]] double overload_allowance(const SlowStartConfig&, double warm_capacity);

/// How much of an allowance is issued as permits within one overload window.
[[nodiscard]] double issued_allowance(double allowance);

/// The permits of one balancer for one server. Not thread-safe.
class WarmupPermits {
   public:
    /// Levels count rounds of permits, one permit for each balancer, since the server's start.
    struct State {
        TimePoint discovered_at;
        TimePoint updated_at;  ///< zero before the first update
        double issued_level = 0;
        double discovery_level = 0;  ///< the issued level at `discovered_at`
        double next_permit_level = 0;
    };

    [[nodiscard]] const State& state() const { return state_; }
    void restore(const State& state) { state_ = state; }

    /// Starts anew for a server that has started. Permits issued before `discovered_at`, when this process
    /// first heard of it, are not this process's: another one may have used them.
    void reset(TimePoint discovered_at);

    /// Issues what is due by `now` and drops what has lapsed; to be called before each `is_available`.
    /// `server_hash` is a hash of the server's id, the same at all balancers.
    void update(TimePoint now, TimePoint server_started, const SlowStartConfig&, double warm_capacity,
                uint64_t server_hash);

    /// Whether there is a permit for a request of `load` mean load units: one that is twice as heavy may use
    /// every second permit only.
    [[nodiscard]] bool is_available(double load, const SlowStartConfig&) const;

    /// Uses the permit that is available.
    void consume() { state_.next_permit_level += 1; }

   private:
    State state_;
};

}  // namespace headrouter::slow_start
