/// Issues permits for sending requests to a server in slow start, coordinated among many balancers without
/// any messages.
///
/// A server that has just started is overloaded if all balancers together send it more than a multiple of its
/// cold capacity within a short window. Each balancer computes the same rate at which permits are issued for
/// the server since its start, and its own position in the round in which permits are issued to one balancer
/// after the other. A permit is valid for one overload window; an unused permit expires. Does no I/O and
/// reads no clock.
#pragma once
#include <cstdint>

#include "base/time.h"

namespace headrouter::slow_start {

/// Parameters of the permits; the same at every balancer except for `replica_index`.
struct SlowStartConfig {
    /// A cold server is overloaded if it is sent more than this multiple of its cold capacity within
    /// `overload_window`.
    double overload_multiple = 3;
    Duration overload_window;
    /// Time from a server's start until it is warm; if zero, there is no slow start, and no permit is issued.
    Duration warmup_time;
    uint64_t replica_index = 0;
    /// Number of balancers, including this one.
    int replica_count = 1;
};

/// Returns the load that all balancers together may send a server within one overload window, in mean load
/// units; `warm_capacity` is the load that the server carries when warm, in the same unit.
[[nodiscard]] double overload_allowance(const SlowStartConfig&, double warm_capacity);

/// Returns how much of an allowance is issued as permits within one overload window.
[[nodiscard]] double issued_allowance(double allowance);

/// Tracks the permits of one balancer for one server. Not thread-safe.
class WarmupPermits {
   public:
    /// Levels are numbers of rounds of permits since the server's start. A round issues one permit to each
    /// balancer.
    struct State {
        TimePoint discovered_at;
        TimePoint updated_at;  ///< zero before the first update
        double issued_level = 0;
        double discovery_level = 0;  ///< the issued level at `discovered_at`
        double next_permit_level = 0;
    };

    [[nodiscard]] const State& state() const { return state_; }
    void restore(const State& state) { state_ = state; }

    /// Resets the permits for a server that has started. Permits issued before `discovered_at`, when this
    /// process discovered the server, are not available to this process: an earlier process of this balancer
    /// may have used them.
    void reset(TimePoint discovered_at);

    /// Issues the permits due by `now` and drops expired ones; must be called before each `is_available`.
    /// `server_hash` is a hash of the server's id, the same at all balancers.
    void update(TimePoint now, TimePoint server_started, const SlowStartConfig&, double warm_capacity,
                uint64_t server_hash);

    /// Returns whether there is a permit for a request of `load` mean load units. A request of twice the mean
    /// load may use only every second permit.
    [[nodiscard]] bool is_available(double load, const SlowStartConfig&) const;

    /// Uses the available permit.
    void consume() { state_.next_permit_level += 1; }

   private:
    State state_;
};

}  // namespace headrouter::slow_start
