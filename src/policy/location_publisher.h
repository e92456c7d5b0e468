/// Exchanges the locations of affinity groups, the servers that hold members of each group, between
/// balancers.
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

/// Publishes this balancer's group locations and keeps those that others have published.
///
/// A balancer with only a few connections has no member of most groups and would place each group on an
/// additional server. Therefore the first balancer to place a member on a server publishes the location,
/// within a budget for messages: each new request earns a credit in bytes. The first selectable server of a
/// group's ranking need not be published, because it is one of every balancer's preferred servers.
class LocationPublisher {
   public:
    /// Upper bound of the saved credit, in bytes summed over all receiving balancers.
    static constexpr double most_credit = 2400;

    struct State {
        gossip::GroupLocations locations;
        std::vector<gossip::GroupPlacement> unpublished;
        double credit = most_credit;
        bool has_timer = false;  ///< whether the timer for the next message is set
    };

    [[nodiscard]] const State& state() const { return state_; }
    void restore(State state) { state_ = std::move(state); }

    /// The referenced objects must outlive the LocationPublisher.
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

    /// Adds the credit that a new request earns.
    void earn_credit();
    /// Handles the establishment of a member of the group on the server: schedules publishing of the
    /// location, unless it was published recently or the server is the group's first choice.
    void on_group_placed(TimePoint now, const std::string& group, ServerIndex);
    /// Sends the unpublished locations that the credit covers.
    void publish();
    /// Records locations that another balancer has published.
    void on_published(TimePoint now, const std::vector<gossip::GroupLocationRow>&);
    /// Removes the server's locations after its process was replaced: the new process has no groups.
    void forget_server(ServerIndex server) { state_.locations.remove_server(server); }

    /// Returns the known locations of a group, including this balancer's own and old ones (see is_current);
    /// an empty list if gossip is disabled. The reference is valid until the next change.
    const std::vector<gossip::GroupLocation>& locations_of(const std::string& group) const;
    /// Returns whether another balancer has published the location within its lifetime.
    static bool is_current(TimePoint now, const gossip::GroupLocation&);

   private:
    /// Returns whether the server is the first selectable one in the group's ranking.
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
