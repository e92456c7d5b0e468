// The load above which one server is known to answer slowly.
#pragma once
#include <cstddef>
#include <optional>

#include "base/pcg32.h"
#include "base/time.h"

namespace headrouter {

struct StateAccess;

/// Finds one server's load limit from the latency it reports and from connections that it drops, and lets the
/// limit rise again over time. Loads are in mean load units, of this balancer's connections alone.
class LoadLimit {
   public:
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

    /// The server's messages were last answered after `latency` seconds; the strictest latency objective of
    /// any class is `objective`. Draws up to two numbers of `random`, both only if the server is slow.
    /// Latency is work piled up: its growth in a second is what the server was asked beyond what it can do.
    /// Every balancer hears the same and migrates the same part off, so nobody needs to know the others'
    /// counts.
    Surplus on_latency_report(TimePoint now, double latency, Duration objective, const Usage&, Pcg32& random);
    /// The server dropped a connection: it gets no more than the load it has now. A server that is asked too
    /// much drops its newest connections; whoever held only those would hear no more of it and send them
    /// there again.
    void on_reset(TimePoint now, double load, double full_share);
    /// Another process has taken the server's place.
    void lift() { limit_.reset(); }

    /// The limit now, if there is one.
    std::optional<double> at(TimePoint now, double full_share) const;
    /// False where at() has none whatever the server's full share, which need not be summed up then. Sums of
    /// loads that came and went can end just below zero: such a limit is none.
    bool is_set() const { return limit_ && *limit_ >= 0; }
    /// The random part, added to a limit, that rounds the sum over all balancers for whole connections.
    double rounding() const { return rounding_; }
    /// Whether the last latency was short and no longer than the one before: load has no part in it.
    bool is_mild() const { return is_mild_; }

   private:
    friend struct StateAccess;
    friend struct PolicyInspector;
    // The part of the latency objective from which a server counts as slow.
    static constexpr double slow_part_of_objective = 0.8;
    // The use of a server's cores that is aimed at, the least of it, and the seconds in which a backlog is
    // to go.
    static constexpr double target_utilization = 0.85, least_utilization = 0.3, backlog_time = 5;
    // A latency up to so many times the last one does not grow; the part of its share that a server keeps
    // then.
    static constexpr double steady_growth = 1.05, mild_part_of_share = 0.7;
    // Reports further apart than this, in seconds, give no slope; closer ones are taken for this far apart.
    static constexpr double longest_gap = 2.5, shortest_gap = 0.2;
    // Of its capacity, what a server may be found to be asked for.
    static constexpr double least_asked = 0.5, most_asked = 2.5;
    // A limit rises by this part of the server's full share a second, and ends after so many seconds.
    static constexpr double growth_per_second = 0.04, limit_lifetime = 30;

    /// Sets the limit to `load`, unless it is lower already.
    void lower_to(TimePoint now, double load, double full_share);

    TimePoint reported_at_;
    double latency_ = 0;  // in seconds, as last reported
    bool is_mild_ = false;
    std::optional<double> limit_;  // as of limited_at_
    TimePoint limited_at_;
    double rounding_ = 0;
};

}  // namespace headrouter
