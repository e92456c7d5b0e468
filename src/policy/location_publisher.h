/// Which servers hold members of which affinity groups, told from balancer to balancer.
#pragma once
#include <string>
#include <utility>
#include <vector>

#include "base/pcg32.h"
#include "gossip/gossip_message.h"
#include "gossip/group_locations.h"
#include "gossip/short_server_ids.h"
#include "policy/policy_actions.h"
#include "policy/rendezvous_rankings.h"
#include "policy/server_table.h"

namespace headrouter {

/// A balancer with a handful of connections has none of most groups, and would open each group on one more
/// server. So the first balancer to place a member on a server publishes that, as far as the messages are
/// paid for: each new request earns a credit in bytes. The first choice of a group's ranking need not be
/// published, as it is one of every balancer's preferred servers.
class LocationPublisher {
   public:
    /// The credit that is saved up at the most, in bytes over all balancers that read them.
    static constexpr double most_credit = 2400;

    struct State {
        gossip::GroupLocations locations;
        std::vector<gossip::GroupPlacement> unpublished;
        double credit = most_credit;
        bool has_timer = false;  ///< the timer for the next message is set
    };

    [[nodiscard]] const State& state() const { return state_; }
    void restore(State state) { state_ = std::move(state); }

    /// All must outlive it.
    struct Parts {
        const PolicyConfig& config;
        const ServerTable& servers;
        const gossip::ShortServerIds& short_ids;
        RendezvousRankings& rankings;
        PolicyActions& actions;
        Pcg32& random;
    };
    explicit LocationPublisher(const Parts& parts)
        : config_(parts.config),
          servers_(parts.servers),
          short_ids_(parts.short_ids),
          rankings_(parts.rankings),
          actions_(parts.actions),
          random_(parts.random) {}

    /// A new request arrived.
    void earn_credit();
    /// A member of the group was established on the server: publishes that soon, unless the others know.
    void on_group_placed(TimePoint now, const std::string& group, ServerIndex);
    /// Sends the locations that wait, as far as the credit goes.
    void publish();
    /// What another balancer has published.
    void on_published(TimePoint now, const std::vector<gossip::GroupLocationRow>&);
    /// Another process has taken the server's place: it has no groups.
    void forget_server(ServerIndex server) { state_.locations.remove_server(server); }

    /// The known locations of a group, also this balancer's own and old ones (see is_current); none where
    /// gossip is off. Valid until the next change.
    const std::vector<gossip::GroupLocation>& locations_of(const std::string& group) const;
    /// Whether another balancer has published the location and not too long ago.
    static bool is_current(TimePoint now, const gossip::GroupLocation&);

   private:
    bool is_first_choice(TimePoint now, const std::string& group, ServerIndex);

    const PolicyConfig& config_;
    const ServerTable& servers_;
    const gossip::ShortServerIds& short_ids_;
    RendezvousRankings& rankings_;
    PolicyActions& actions_;
    Pcg32& random_;
    State state_;
};

}  // namespace headrouter
