/// Exchanges gossip messages with the other balancers: sends this balancer's load and group locations, and
/// receives theirs.
#pragma once
#include <optional>
#include <string>
#include <vector>

#include "base/pcg32.h"
#include "gossip/short_server_ids.h"
#include "policy/headroom_publisher.h"
#include "policy/location_publisher.h"
#include "policy/policy_actions.h"
#include "policy/rendezvous_rankings.h"
#include "policy/round_exchange.h"
#include "policy/server_loads.h"
#include "policy/server_table.h"

namespace headrouter {

/// Passes each kind of gossip to the component that sends and receives it, each on its own schedule: the load
/// of all balancers in rounds of the wall clock (RoundExchange), each server's headroom over all balancers
/// (HeadroomPublisher), and the locations of groups (LocationPublisher).
class GossipCoordinator {
   public:
    struct State {
        gossip::ShortServerIds short_ids;
        RoundExchange::State rounds;
        HeadroomPublisher::State headroom;
        LocationPublisher::State locations;
    };

    [[nodiscard]] State state() const {
        return {short_ids_, rounds_.state(), headroom_.state(), locations_.state()};
    }
    void restore(State state);

    /// The referenced objects must outlive the GossipCoordinator.
    struct Parts {
        const PolicyConfig& config;
        ServerTable& servers;
        const ServerLoads& loads;
        RendezvousRankings& rankings;
        PolicyActions& actions;
        Pcg32& random;
    };
    explicit GossipCoordinator(const Parts&);
    GossipCoordinator(const GossipCoordinator&) = delete;
    GossipCoordinator& operator=(const GossipCoordinator&) = delete;
    GossipCoordinator(GossipCoordinator&&) = delete;
    GossipCoordinator& operator=(GossipCoordinator&&) = delete;
    ~GossipCoordinator() = default;

    /// Applies the configuration after it was set or changed.
    void configure();
    /// Adds a server that was listed for the first time.
    void add_server(const ServerId& id, ServerIndex server) { short_ids_.add(id, server); }
    /// Removes the server's group locations after its process was replaced: the new process has no groups.
    void forget_locations(ServerIndex server) { locations_.forget_server(server); }

    // Timer handlers.
    void begin_round(TimePoint now) { rounds_.begin_round(now); }
    void sum_round(TimePoint now) { rounds_.sum_round(now); }
    void publish_headroom(TimePoint now) { headroom_.publish(now); }
    void publish_locations() { locations_.publish(); }

    /// Handles a message from another replica. Returns false, without any effect, if gossip is disabled,
    /// `replica` is not another replica, or the message cannot be parsed.
    bool on_message(TimePoint now, int replica, const std::string& bytes);
    /// Adds the credit that a new request earns for publishing locations.
    void earn_credit() { locations_.earn_credit(); }
    /// Records that a member of the group was established on the server.
    void on_group_placed(TimePoint now, const std::string& group, ServerIndex server) {
        locations_.on_group_placed(now, group, server);
    }

    /// Returns the trust in the published load of the fleet, from 0 (no load published, or too old) to 1.
    double trust(TimePoint now) const { return rounds_.trust(now); }
    /// Returns the load over all balancers, in mean load units.
    double fleet_total() const { return rounds_.total_load(); }
    /// Returns the server for the next connection, selected by headroom over all balancers, if there is one.
    /// `random` is between 0 and 1.
    std::optional<ServerIndex> pick_by_headroom(TimePoint now, double random) {
        return headroom_.pick(now, random);
    }
    /// Returns the known locations of groups: the servers that hold members of each group.
    const LocationPublisher& group_locations() const { return locations_; }

   private:
    const PolicyConfig& config_;
    gossip::ShortServerIds short_ids_;
    RoundExchange rounds_;
    HeadroomPublisher headroom_;
    LocationPublisher locations_;
};

}  // namespace headrouter
