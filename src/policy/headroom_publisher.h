/// Exchanges load reports and each server's headroom over all balancers.
#pragma once
#include <optional>
#include <utility>

#include "fleet_load/fleet_load_aggregator.h"
#include "gossip/gossip_message.h"
#include "gossip/short_server_ids.h"
#include "policy/policy_actions.h"
#include "policy/server_loads.h"

namespace headrouter {

/// Passes this balancer's loads to the FleetLoadAggregator and sends the aggregator's messages.
class HeadroomPublisher {
   public:
    struct State {
        fleet_load::FleetLoadAggregator aggregator;
        bool has_timer = false;  ///< whether the timer for the next tick is set
    };

    [[nodiscard]] const State& state() const { return state_; }
    void restore(State state) { state_ = std::move(state); }

    /// The referenced objects must outlive the HeadroomPublisher.
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

    /// Applies the configuration after it was set or changed.
    void configure();
    /// Handles a tick: reports this balancer's loads if a report is due and, if this balancer is the
    /// aggregator, sends the headroom.
    void publish(TimePoint now);
    /// Handles a load report or headroom message from another balancer.
    void on_message(TimePoint now, int replica, const gossip::Message&);
    /// Returns the server for the next connection, selected by headroom, if there is one. `random` is between
    /// 0 and 1.
    std::optional<ServerIndex> pick(TimePoint now, double random) {
        return state_.aggregator.pick(now, random);
    }

   private:
    /// Returns whether to publish the marker of a degraded server instead of a load: the server is failing,
    /// or its load limit is below the larger of this balancer's load there and the server's full share. A
    /// limit does not count while the server has a steady low latency.
    bool reports_as_degraded(TimePoint now, const ServerState&) const;

    const PolicyConfig& config_;
    const ServerTable& servers_;
    const ServerLoads& loads_;
    const gossip::ShortServerIds& short_ids_;
    PolicyActions& actions_;
    State state_;
};

}  // namespace headrouter
