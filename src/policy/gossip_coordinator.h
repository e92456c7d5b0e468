/// What balancers tell one another: publishing this one's load and group locations, taking in the others'.
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

/// Three kinds of messages, each with a part and a pace of its own: the load of all balancers by rounds of
/// the wall clock (RoundExchange), each server's headroom over all balancers (HeadroomPublisher), and the
/// locations of groups (LocationPublisher).
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

    /// All must outlive it.
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

    /// The configuration was set or has changed.
    void configure();
    /// A server was listed for the first time.
    void add_server(const ServerId& id, ServerIndex server) { short_ids_.add(id, server); }
    /// Another process has taken the server's place: it has no groups.
    void forget_locations(ServerIndex server) { locations_.forget_server(server); }

    // Timers.
    void begin_round(TimePoint now) { rounds_.begin_round(now); }
    void sum_round(TimePoint now) { rounds_.sum_round(now); }
    void publish_headroom(TimePoint now) { headroom_.publish(now); }
    void publish_locations() { locations_.publish(); }

    /// A message of another replica. False where it is none that this version understands; nothing is done
    /// then.
    bool on_message(TimePoint now, int replica, const std::string& bytes);
    /// A new request earns credit for publishing a location.
    void earn_credit() { locations_.earn_credit(); }
    /// A member of the group was established on the server.
    void on_group_placed(TimePoint now, const std::string& group, ServerIndex server) {
        locations_.on_group_placed(now, group, server);
    }

    /// Trust in the published load of the fleet, 0 (none or old) to 1.
    double trust(TimePoint now) const { return rounds_.trust(now); }
    /// Load over all balancers, in mean load units.
    double fleet_total() const { return rounds_.total_load(); }
    /// The server that the next connection should go to by its headroom over all balancers, if any. `random`
    /// lies between 0 and 1.
    std::optional<ServerIndex> pick_by_headroom(TimePoint now, double random) {
        return headroom_.pick(now, random);
    }
    /// Which servers have members of a group at other replicas.
    const LocationPublisher& group_locations() const { return locations_; }

   private:
    const PolicyConfig& config_;
    gossip::ShortServerIds short_ids_;
    RoundExchange rounds_;
    HeadroomPublisher headroom_;
    LocationPublisher locations_;
};

}  // namespace headrouter
