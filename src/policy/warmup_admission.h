/// Decides whether a server that has just started may be sent a new request.
#pragma once
#include "policy/policy_config.h"
#include "policy/server_loads.h"
#include "policy/server_table.h"

namespace headrouter {

/// Limits the load sent to a cold server by two rules that apply until its slow start is over:
///
/// - the server's share grows with the time since its process started (SlowStart);
/// - each attempt needs a warm-up permit, so that all balancers together do not exceed the server's capacity
///   (slow_start::WarmupPermits). Its cold capacity follows from its warm capacity, which is its part, by
///   listed weight, of the load of the fleet.
///
/// Loads are in mean load units.
class WarmupAdmission {
   public:
    struct State {
        /// Listed weight of the fleet when warm; never zero, because it is used as a divisor.
        double warm_weight = 1e-9;
    };

    [[nodiscard]] const State& state() const { return state_; }
    void restore(const State& state) { state_ = state; }

    /// The arguments must outlive this object.
    WarmupAdmission(const PolicyConfig& config, const ServerTable& servers, const ServerLoads& loads)
        : config_(config), servers_(servers), loads_(loads) {}

    /// Returns whether the server's slow start is not over.
    bool is_cold(TimePoint now, const ServerState&) const;
    /// Returns the fraction of the server's weight that counts, from 0 at the start of the process to 1 at
    /// the end of slow start.
    double slow_start_factor(TimePoint now, const ServerState&) const;

    /// Returns whether the server may be sent a connection of `load` now: always if the server is warm, else
    /// if this balancer has a permit. Issues the permits that are due and drops those that have expired.
    bool admits(TimePoint now, ServerState&, double load) const;
    /// Handles an attempt sent to the server: uses a permit if the server is cold.
    void on_attempt_sent(TimePoint now, ServerState&) const;

    /// Updates the warm weight of the fleet after an endpoint update.
    void on_endpoints(TimePoint now);
    /// Moves the fleet's warm weight towards its listed weight; called once per rebalance cycle. The change
    /// per cycle is limited in both directions, because old and new servers are listed together for a short
    /// time while servers are replaced. A cold server's part of the load must not grow when other servers are
    /// lost, nor stay small after the fleet has shrunk.
    void on_cycle();

   private:
    /// Returns the load that the server carries when warm, as estimated by this balancer while it places
    /// `load`.
    double warm_capacity(const ServerState&, double load) const;

    const PolicyConfig& config_;
    const ServerTable& servers_;
    const ServerLoads& loads_;
    State state_;
};

}  // namespace headrouter
