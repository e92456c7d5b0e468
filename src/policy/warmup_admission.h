/// Who may send new requests to a server that has just started.
#pragma once
#include "policy/policy_config.h"
#include "policy/server_loads.h"
#include "policy/server_table.h"

namespace headrouter {

/// Limits what a cold server is sent, by two rules that hold until its slow start is over:
///
/// - its share grows with the time since its process started (SlowStart);
/// - each attempt needs a warm-up permit, so that all balancers together send it no more than it can do
///   (slow_start::WarmupPermits). What it can do cold follows from its warm capacity: its part, by listed
///   weight, of the load of the fleet.
///
/// Loads are in mean load units.
class WarmupAdmission {
   public:
    struct State {
        /// Listed weight of the fleet when warm; not zero, as it is divided by.
        double warm_weight = 1e-9;
    };

    [[nodiscard]] const State& state() const { return state_; }
    void restore(const State& state) { state_ = state; }

    /// All must outlive it.
    WarmupAdmission(const PolicyConfig& config, const ServerTable& servers, const ServerLoads& loads)
        : config_(config), servers_(servers), loads_(loads) {}

    bool is_cold(TimePoint now, const ServerState&) const;
    /// The part of its weight that counts, from 0 at the start of the process to 1 at the end of slow start.
    double slow_start_factor(TimePoint now, const ServerState&) const;

    /// Whether the server may be sent a connection of that load now: always if it is warm, else if this
    /// balancer has a permit. Issues the permits that are due and drops those that have lapsed.
    bool admits(TimePoint now, ServerState&, double load) const;
    /// An attempt is sent to the server: uses a permit, if it is cold.
    void on_attempt_sent(TimePoint now, ServerState&) const;

    /// An endpoint update has ended.
    void on_endpoints(TimePoint now);
    /// Once a rebalance cycle: the fleet's warm weight follows its listed weight, slowly both ways, since
    /// both are listed for a moment while new servers take the place of old ones. A cold server's part must
    /// not grow as others are lost around it, nor stay small after the fleet has shrunk.
    void on_cycle();

   private:
    /// What the server carries when it is warm, as far as this balancer can tell while it places `load`.
    double warm_capacity(const ServerState&, double load) const;

    const PolicyConfig& config_;
    const ServerTable& servers_;
    const ServerLoads& loads_;
    State state_;
};

}  // namespace headrouter
