/// The load of all balancers, summed by one of them in each round.
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

/// Once a round, by the wall clock, each balancer sends its loads to the round's reporter, and that one sends
/// all of them the sum: two messages a balancer and round. The reporter changes with each round, so one that
/// is dead costs a round only. What is believed of a sum is up to gossip::GossipRounds.
class RoundExchange {
   public:
    struct State {
        gossip::GossipRounds rounds;
        bool has_timer = false;  ///< the timer of the next round is set
    };

    [[nodiscard]] const State& state() const { return state_; }
    void restore(State state) { state_ = std::move(state); }

    /// All must outlive it.
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

    /// The configuration was set or has changed.
    void configure();
    /// A round has begun: sends the own loads, or waits for the others' as its reporter.
    void begin_round(TimePoint now);
    /// As the round's reporter: sends the sum of what has come.
    void sum_round(TimePoint now);
    /// Loads of another balancer, or a sum.
    void on_loads(TimePoint now, int replica, const gossip::Message&);

    /// Trust in the load of the fleet as published, 0 (none or old) to 1.
    double trust(TimePoint now) const;
    /// Load over all balancers, in mean load units.
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
