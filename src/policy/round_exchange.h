/// Sums the load of all balancers, in each round at one of them.
#pragma once
#include <string>
#include <utility>
#include <vector>

#include "base/pcg32.h"
#include "gossip/gossip_message.h"
#include "gossip/gossip_rounds.h"
#include "gossip/short_server_ids.h"
#include "policy/policy_actions.h"
#include "policy/server_loads.h"

namespace headrouter {

/// Exchanges loads once per round of the wall clock: each balancer sends its loads to the round's reporter,
/// and the reporter sends the sum to all balancers, which makes two messages per balancer and round. The
/// reporter changes with each round, so a dead reporter costs one round only. gossip::GossipRounds decides
/// whether to accept a sum.
class RoundExchange {
   public:
    struct State {
        gossip::GossipRounds rounds;
        bool has_timer = false;  ///< whether the timer for the next round is set
    };

    [[nodiscard]] const State& state() const { return state_; }
    void restore(State state) { state_ = std::move(state); }

    /// The referenced objects must outlive the RoundExchange.
    struct Parts {
        const PolicyConfig& config;
        ServerTable& servers;
        const ServerLoads& loads;
        const gossip::ShortServerIds& short_ids;
        PolicyActions& actions;
        Pcg32& random;
    };
    explicit RoundExchange(const Parts& parts)
        : config_(parts.config),
          servers_(parts.servers),
          loads_(parts.loads),
          short_ids_(parts.short_ids),
          actions_(parts.actions),
          random_(parts.random) {}

    /// Applies the configuration after it was set or changed.
    void configure();
    /// Begins a round: sends this balancer's loads to the reporter or, if this balancer is the reporter, sets
    /// the timer for the sum.
    void begin_round(TimePoint now);
    /// Sends the sum of the received loads and this balancer's, as the round's reporter.
    void sum_round(TimePoint now);
    /// Handles the loads of another balancer, or a reporter's sum.
    void on_loads(TimePoint now, int replica, const gossip::Message&);

    /// Returns the trust in the published load of the fleet, from 0 (no load published, or too old) to 1.
    double trust(TimePoint now) const;
    /// Returns the load over all balancers, in mean load units.
    double total_load() const { return state_.rounds.total_load(); }

   private:
    int64_t round_at(TimePoint now) const;
    TimePoint round_start(int64_t round) const;
    int reporter_of(int64_t round) const;
    bool is_own(int replica) const;
    std::vector<gossip::IndexedLoad> own_loads() const;
    std::string encode(gossip::MessageKind, const gossip::RoundSum&) const;
    void on_sum(TimePoint now, const gossip::RoundSum&);

    const PolicyConfig& config_;
    ServerTable& servers_;
    const ServerLoads& loads_;
    const gossip::ShortServerIds& short_ids_;
    PolicyActions& actions_;
    Pcg32& random_;
    State state_;
};

}  // namespace headrouter
