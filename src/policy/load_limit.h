/// Estimates the load above which one server answers slowly.
#pragma once
#include <cstddef>
#include <optional>

#include "base/pcg32.h"
#include "base/time.h"

namespace headrouter {

/// Derives one server's load limit from the latency that the server reports and from the connections that it
/// resets, and raises the limit again over time.
///
/// Latency reflects the server's backlog: the growth of the latency per second is the demand in excess of the
/// server's capacity. Every balancer receives the same latency reports and migrates the same fraction of its
/// connections off, so no balancer needs to know the load of the others on the server.
///
/// Loads are in mean load units and cover only this balancer's connections.
class LoadLimit {
   public:
    struct State {
        TimePoint reported_at;  ///< time of the latest latency report
        double latency = 0;     ///< latest reported latency, in seconds
        bool has_steady_low_latency = false;
        std::optional<double> limit;  ///< as of `limited_at`
        TimePoint limited_at;
        double rounding = 0;
    };

    [[nodiscard]] const State& state() const { return state_; }
    void restore(const State& state) { state_ = state; }

    /// This balancer's load and connections on the server when a latency report arrives.
    struct Usage {
        double load;
        size_t connections;
        double full_share;  ///< share that the server's weight alone would give it
    };
    /// The load to migrate off after a latency report; nothing is to be migrated if `connections` is 0.
    struct Surplus {
        double load = 0;
        int connections = 0;
    };

    /// Updates the limit from the latest latency of the server's messages and returns the surplus.
    /// `objective` is the strictest message latency objective of any request class. Draws two numbers from
    /// `random` if the server is slow, none otherwise.
    Surplus on_latency_report(TimePoint now, double latency_seconds, Duration objective, const Usage&,
                              Pcg32& random);
    /// Lowers the limit to `load`, the load that remains after the server reset a connection. An overloaded
    /// server resets its newest connections; a balancer that had only those receives no more latency reports
    /// from the server, and without a limit would send the connections there again.
    void on_reset(TimePoint now, double load, double full_share);
    /// Removes the limit after the server's process was replaced.
    void clear() { state_.limit.reset(); }

    /// Returns the limit at `now`, if there is one.
    std::optional<double> at(TimePoint now, double full_share) const;
    /// Returns whether there may be a limit. If false, at() returns no limit, and the caller need not compute
    /// the full share. A limit below zero, which rounding errors in sums of loads can produce, counts as
    /// none.
    bool is_set() const { return state_.limit && *state_.limit >= 0; }
    /// Returns a random fraction of a connection to add to the limit. Many balancers have one connection or
    /// none on a server. With random rounding, their connections together match the server's capacity; if all
    /// balancers rounded down, the server would be left empty.
    double rounding() const { return state_.rounding; }
    /// Returns whether the latest latency was below the slow threshold and had not grown since the report
    /// before, so that load is not its cause.
    bool has_steady_low_latency() const { return state_.has_steady_low_latency; }

   private:
    /// A server is slow if its latency is at least this fraction of the message latency objective.
    static constexpr double slow_objective_fraction = 0.8;
    /// Target fraction of a server's capacity in use while the server has no backlog.
    static constexpr double target_utilization = 0.85;
    /// Lower bound of the wanted utilization, however long the backlog.
    static constexpr double min_utilization = 0.3;
    /// Latency divided by this time is subtracted from the target utilization, so that a backlog is worked
    /// off within it.
    static constexpr Duration backlog_drain_time = seconds(5);
    /// A latency of up to this multiple of the previous one counts as not grown.
    static constexpr double max_steady_growth = 1.05;
    /// Fraction of its full share that a server with a steady low latency keeps.
    static constexpr double steady_low_latency_share = 0.7;
    /// Reports this far apart or further are not compared to compute the latency's growth.
    static constexpr Duration max_report_gap = seconds(2.5);
    /// Lower bound of the time between two reports in the computation of the latency's growth.
    static constexpr Duration min_report_gap = seconds(0.2);
    /// Bounds of the estimated demand, as multiples of the server's capacity.
    static constexpr double min_demand = 0.5;
    static constexpr double max_demand = 2.5;
    /// Fraction of the server's full share by which its limit rises each second.
    static constexpr double growth_per_second = 0.04;
    /// A limit expires after this time.
    static constexpr Duration limit_lifetime = seconds(30);

    /// Returns the demand on the server since the last report, as a multiple of its capacity.
    double demand(TimePoint now, double latency_seconds) const;
    /// Returns the fraction of its capacity that the server should be used at until its backlog is worked
    /// off.
    static double wanted_utilization(double latency_seconds);
    /// Sets the limit to `load`, unless the present limit is lower.
    void lower_to(TimePoint now, double load, double full_share);

    State state_;
};

}  // namespace headrouter
