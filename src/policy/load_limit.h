/// The load above which one server is known to answer slowly.
#pragma once
#include <cstddef>
#include <optional>

#include "base/pcg32.h"
#include "base/time.h"

namespace headrouter {

/// Finds one server's load limit from the latency that it reports and from the connections that it drops, and
/// lets the limit rise again over time.
///
/// Latency is work that has piled up: its growth in a second is what the server was asked beyond what it can
/// do. Every balancer hears the same latency and migrates the same part of its connections off, so none needs
/// to know what the others have there.
///
/// Loads are in mean load units, of this balancer's connections alone.
class LoadLimit {
   public:
    struct State {
        TimePoint reported_at;  ///< the latest latency report
        double latency = 0;     ///< in seconds, as last reported
        bool has_steady_low_latency = false;
        std::optional<double> limit;  ///< as of `limited_at`
        TimePoint limited_at;
        double rounding = 0;
    };

    [[nodiscard]] const State& state() const { return state_; }
    void restore(const State& state) { state_ = state; }

    /// What this balancer has on the server as a latency report arrives.
    struct Usage {
        double load;
        size_t connections;
        double full_share;  ///< what the server's weight alone would give it
    };
    /// What is to be migrated off after a latency report; no connections: nothing.
    struct Surplus {
        double load = 0;
        int connections = 0;
    };

    /// The server's messages last took `latency_seconds`; `objective` is the strictest message objective of
    /// any request class. Draws two numbers of `random` if the server is slow, none otherwise.
    Surplus on_latency_report(TimePoint now, double latency_seconds, Duration objective, const Usage&,
                              Pcg32& random);
    /// The server dropped a connection and is left with `load`, which becomes its limit. A server that is
    /// asked too much drops its newest connections; a balancer that had only those gets no more latency
    /// reports from it, and would send them there again.
    void on_reset(TimePoint now, double load, double full_share);
    /// Another process has taken the server's place.
    void lift() { state_.limit.reset(); }

    /// The limit now, if there is one.
    std::optional<double> at(TimePoint now, double full_share) const;
    /// Whether there may be a limit: where false, at() has none, and the full share need not be summed up. A
    /// limit below zero, which sums of loads can end at, counts as none.
    bool is_set() const { return state_.limit && *state_.limit >= 0; }
    /// A random part of a connection, added to the limit. Many balancers have one connection or none on a
    /// server; rounded by chance, their whole connections add up to what the server can do, while all rounded
    /// down would leave it empty.
    double rounding() const { return state_.rounding; }
    /// Whether the last latency was short and no longer than the one before: load has no part in it.
    bool has_steady_low_latency() const { return state_.has_steady_low_latency; }

   private:
    /// A server is slow from this part of the message objective on.
    static constexpr double slow_part_of_objective = 0.8;
    /// The part of a server's capacity that is to be used while it has no backlog.
    static constexpr double target_utilization = 0.85;
    /// The least part of it, however long the backlog.
    static constexpr double least_utilization = 0.3;
    /// A backlog is to be worked off within this time.
    static constexpr Duration backlog_time = seconds(5);
    /// A latency up to so many times the one before has not grown.
    static constexpr double steady_growth = 1.05;
    /// The part of its full share that a mild server keeps.
    static constexpr double mild_part_of_share = 0.7;
    /// Reports further apart than this say nothing of how latency grows.
    static constexpr Duration longest_gap = seconds(2.5);
    /// Reports closer together than this count as this far apart.
    static constexpr Duration shortest_gap = seconds(0.2);
    /// What a server may be found to be asked, as parts of its capacity.
    static constexpr double least_demand = 0.5;
    static constexpr double most_demand = 2.5;
    /// The part of the server's full share by which its limit rises each second.
    static constexpr double growth_per_second = 0.04;
    /// A limit ends after this time.
    static constexpr Duration limit_lifetime = seconds(30);

    /// What the server was asked since the last report, as a part of its capacity.
    double demand(TimePoint now, double latency_seconds) const;
    /// The part of its capacity that the server should be asked for a while, so that its backlog goes.
    static double wanted_utilization(double latency_seconds);
    /// Sets the limit to `load`, unless it is lower already.
    void lower_to(TimePoint now, double load, double full_share);

    State state_;
};

}  // namespace headrouter
