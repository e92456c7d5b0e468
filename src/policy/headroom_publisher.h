/// Each server's headroom over all balancers, told from balancer to balancer.
#pragma once
#include <optional>
#include <utility>

#include "fleet_load/fleet_load_aggregator.h"
#include "gossip/gossip_message.h"
#include "gossip/short_server_ids.h"
#include "policy/policy_actions.h"
#include "policy/server_loads.h"

namespace headrouter {

/// Feeds the aggregator of fleet loads with this balancer's loads and sends its messages.
class HeadroomPublisher {
   public:
    struct State {
        fleet_load::FleetLoadAggregator aggregator;
        bool has_timer = false;  ///< the timer of the next tick is set
    };

    [[nodiscard]] const State& state() const { return state_; }
    void restore(State state) { state_ = std::move(state); }

    /// All must outlive it.
    struct Parts {
        const PolicyConfig& config;
        const ServerTable& servers;
        const ServerLoads& loads;
        const gossip::ShortServerIds& short_ids;
        PolicyActions& actions;
    };
    explicit HeadroomPublisher(const Parts& parts)
        : config_(parts.config),
          servers_(parts.servers),
          loads_(parts.loads),
          short_ids_(parts.short_ids),
          actions_(parts.actions) {}

    /// The configuration was set or has changed.
    void configure();
    /// A tick: reports the own loads where that is due, and as the aggregator the headroom.
    void publish(TimePoint now);
    /// A report or headroom of another balancer.
    void on_message(TimePoint now, int replica, const gossip::Message&);
    /// The server that the next connection should go to by its headroom, if any. `random` lies between 0
    /// and 1.
    std::optional<ServerIndex> pick(TimePoint now, double random) {
        return state_.aggregator.pick(now, random);
    }

   private:
    /// Whether to publish the marker of a degraded server in place of a load: the server is failing, or slow
    /// at the load that this balancer has there.
    bool reports_as_degraded(TimePoint now, const ServerState&) const;

    const PolicyConfig& config_;
    const ServerTable& servers_;
    const ServerLoads& loads_;
    const gossip::ShortServerIds& short_ids_;
    PolicyActions& actions_;
    State state_;
};

}  // namespace headrouter
