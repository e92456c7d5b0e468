/// Tests gossip between several policies over a simulated network that loses, delays, duplicates and corrupts
/// datagrams.
#include <functional>

#include "capture/policy_state.h"
#include "policy_helpers.h"

namespace {

struct Datagram {
    TimePoint due;
    int from;
    int to;
    std::string bytes;
};

struct Replica {
    RecordingActions actions;
    std::unique_ptr<BalancingPolicy> policy;
    std::vector<RecordingActions::Timer> timers;
    bool is_dead = false;
};

/// Simulates replicas 0, 1, ... with the same servers "s0", "s1", ... and the datagrams between them.
class SimulatedGossipNetwork {
   public:
    TimePoint now = cycle_start;
    /// Returns how many copies of a datagram arrive; may also corrupt or delay the datagram.
    std::function<int(Datagram&)> copies = [](Datagram&) { return 1; };
    RequestId next_id = 1000;

    SimulatedGossipNetwork(int replica_count, int server_count, bool is_gossip_enabled = true) {
        for (int k = 0; k < replica_count; ++k) {
            PolicyConfig config = make_replica_config(static_cast<uint64_t>(k));
            config.groups = true;
            config.replica_count = replica_count;
            config.gossip_enabled = is_gossip_enabled;
            replicas_.push_back(std::make_unique<Replica>());
            Replica& replica = *replicas_.back();
            replica.policy =
                std::make_unique<BalancingPolicy>(config, config.replica_index + 1, replica.actions, now);
            std::vector<Endpoint> endpoints;
            for (int server = 0; server < server_count; ++server)
                endpoints.push_back(make_endpoint("s" + std::to_string(server)));
            replica.policy->on_endpoints(now, EndpointUpdateKind::snapshot, endpoints);
        }
    }

    [[nodiscard]] int size() const { return static_cast<int>(replicas_.size()); }
    Replica& replica(int k) { return *replicas_[k]; }
    BalancingPolicy& policy(int k) { return *replicas_[k]->policy; }
    PolicyInspector inspect(int k) { return PolicyInspector{policy(k)}; }

    void run(Duration duration) {
        for (const TimePoint end = now + duration; now < end; now = now + millis(5)) {
            fire_timers();
            deliver();
            collect();
        }
    }

    /// Sends a request of a group to a replica and establishes its attempt at once. Returns the server, or ""
    /// if the request was not placed.
    ServerId place(int k, RequestId id, const std::string& group) {
        const auto& attempts = replicas_[k]->actions.attempts;
        const size_t before = attempts.size();
        policy(k).on_request(now, make_request(id, now, "", group));
        if (attempts.size() > before) policy(k).on_attempt_established(now, id, 0, millis(5));
        collect();
        return attempts.size() > before ? attempts.back().server : "";
    }
    /// Makes every replica from `first_replica` on adopt connections on one server, each in a group of its
    /// own.
    void adopt_connections(int first_replica, const ServerId& server, int count_each) {
        for (int k = first_replica; k < size(); ++k)
            for (int count = 0; count < count_each; ++count, ++next_id) {
                const std::string group = "own" + std::to_string(next_id);
                policy(k).on_request_adopted(now, make_request(next_id, now, "", group), server);
            }
        collect();
    }
    /// Makes every replica adopt connections on each of the first four servers.
    void adopt_on_four_servers(int count_each) {
        for (int server = 0; server < 4; ++server)
            adopt_connections(0, "s" + std::to_string(server), count_each);
    }

   private:
    void fire_timers() {
        // on_timer() adds new timers to the replica's actions, not to this list, so erasing while it runs is
        // safe.
        for (const auto& replica : replicas_)
            std::erase_if(replica->timers, [&](const RecordingActions::Timer& timer) {
                if (timer.due <= now && !replica->is_dead) replica->policy->on_timer(now, timer.token);
                return timer.due <= now;
            });
    }
    void deliver() {
        std::erase_if(in_flight_, [&](const Datagram& datagram) {
            if (datagram.due <= now && !replicas_[datagram.to]->is_dead)
                policy(datagram.to).on_gossip(now, datagram.from, datagram.bytes);
            return datagram.due <= now;
        });
    }
    void collect() {
        for (int from = 0; from < size(); ++from) {
            Replica& sender = *replicas_[from];
            for (const auto& timer : sender.actions.take_timers()) sender.timers.push_back(timer);
            for (const auto& [receiver, bytes] : std::exchange(sender.actions.gossip, {}))
                for (int to = 0; to < size(); ++to) {
                    if (to == from || (receiver != all_other_replicas && receiver != to)) continue;
                    Datagram datagram{now + millis(10), from, to, bytes};
                    for (int left = copies(datagram); left > 0; --left) in_flight_.push_back(datagram);
                }
        }
    }

    std::vector<std::unique_ptr<Replica>> replicas_;
    std::vector<Datagram> in_flight_;
};

/// Returns a message that announces a member of `group` on `server`.
std::string group_location(const std::string& group, const std::string& server) {
    const auto name = static_cast<uint32_t>(hash_of(group) % gossip::group_modulus);
    return gossip::encode_group_locations({{name, gossip::ShortServerIds::short_id_of(server)}});
}

}  // namespace

// Guards against a server that all balancers together overload while each of them sees only a small load.
TEST(Gossip, RoomForGroupsFollowsTheAggregatedLoads) {
    SimulatedGossipNetwork network(10, 8);
    for (const char* server : {"s0", "s0", "s1", "s2", "s3"}) network.adopt_connections(1, server, 1);
    EXPECT_EQ(network.inspect(0).fleet_trust(network.now), 0);
    EXPECT_TRUE(network.inspect(0).has_room_for_group(network.now, "s0"));
    network.run(seconds(11));
    for (int k = 0; k < network.size(); ++k) {
        EXPECT_EQ(network.inspect(k).fleet_trust(network.now), 1);
        EXPECT_GT(network.inspect(k).fleet_load("s0"), 14);
        EXPECT_LT(network.inspect(k).fleet_load("s0"), 22);
        EXPECT_GT(network.inspect(k).fleet_total(), 40);
        EXPECT_LT(network.inspect(k).fleet_total(), 50);
        EXPECT_LT(network.inspect(k).fleet_load("s5"), 8);
    }
    for (int times = 0; times < 3; ++times) {
        network.adopt_connections(1, "s0", 4);
        network.run(seconds(5));
    }
    // A pooled load grows by at most half in a round, so this takes some rounds; a few connections are
    // migrated.
    network.run(seconds(20));
    EXPECT_GT(network.inspect(0).fleet_load("s0"), 80);
    EXPECT_FALSE(network.inspect(0).has_room_for_group(network.now, "s0"));
    EXPECT_TRUE(network.inspect(0).has_room_for_group(network.now, "s5"));
}

TEST(Gossip, ReplicasPlaceGroupMembersAtPublishedLocations) {
    SimulatedGossipNetwork network(4, 6);
    network.adopt_on_four_servers(2);
    network.run(seconds(11));
    const ServerId first = network.place(0, 1, "lecture");
    // A server that rendezvous hashing would not choose.
    const ServerId other = first == "s5" ? "s4" : "s5";
    network.policy(0).on_request_adopted(network.now, make_request(2, network.now, "", "concert"), other);
    network.run(seconds(1));
    for (int k = 1; k < 4; ++k) {
        EXPECT_EQ(network.place(k, 10 + k, "lecture"), first);
        EXPECT_EQ(network.place(k, 20 + k, "concert"), other);
    }
}

TEST(Gossip, PlacementIsAsWithoutGossipWhenAllDatagramsAreLost) {
    SimulatedGossipNetwork lost(4, 6);
    SimulatedGossipNetwork none(4, 6, false);
    lost.copies = [](Datagram&) { return 0; };
    for (SimulatedGossipNetwork* network : {&lost, &none}) {
        network->adopt_on_four_servers(2);
        network->run(seconds(11));
        for (RequestId id = 1; id <= 40; ++id) {
            network->place(static_cast<int>(id) % 4, id, "g" + std::to_string(id % 7));
            network->run(millis(200));
        }
    }
    for (int k = 0; k < 4; ++k) {
        const auto& with_losses = lost.replica(k).actions.attempts;
        const auto& without_gossip = none.replica(k).actions.attempts;
        EXPECT_EQ(lost.inspect(k).fleet_trust(lost.now), 0);
        EXPECT_EQ(with_losses.size(), without_gossip.size());
        for (size_t n = 0; n < with_losses.size(); ++n)
            EXPECT_EQ(with_losses[n].server, without_gossip[n].server);
    }
}

TEST(Gossip, PooledLoadsLoseWeightWhenNotPublishedAgain) {
    SimulatedGossipNetwork network(4, 4);
    network.adopt_on_four_servers(2);
    network.run(seconds(11));
    network.copies = [](Datagram&) { return 0; };
    network.run(seconds(18));
    EXPECT_GT(network.inspect(1).fleet_trust(network.now), 0);
    EXPECT_LT(network.inspect(1).fleet_trust(network.now), 1);
    network.run(seconds(40));  // a reporter that received nothing has no sum to publish
    EXPECT_EQ(network.inspect(1).fleet_trust(network.now), 0);
}

TEST(Gossip, PooledLoadsStayBoundedWithDuplicatedLateAndMalformedDatagrams) {
    SimulatedGossipNetwork clean(6, 4);
    SimulatedGossipNetwork rough(6, 4);
    int datagrams = 0;
    rough.copies = [&](Datagram& datagram) {
        ++datagrams;
        if (datagrams % 7 == 0) datagram.bytes[datagram.bytes.size() / 2] = '#';
        if (datagrams % 11 == 0) datagram.bytes += std::string(300, 'A');
        if (datagrams % 13 == 0) datagram.bytes[0] = '2';  // version byte of a later version
        if (datagrams % 17 == 0) datagram.due = datagram.due + seconds(20);
        return 2;
    };
    for (SimulatedGossipNetwork* network : {&clean, &rough}) {
        network->adopt_on_four_servers(2);
        network->run(seconds(60));
    }
    for (int k = 0; k < 6; ++k) {
        const double ratio = rough.inspect(k).fleet_total() / clean.inspect(k).fleet_total();
        EXPECT_GT(ratio, 0.5);
        EXPECT_LT(ratio, 1.5);
        EXPECT_LT(rough.inspect(k).fleet_load("s0"), clean.inspect(k).fleet_load("s0") * 1.5);
    }
    BalancingPolicy& policy = clean.policy(0);
    for (const std::string malformed :
         {"", "1", "1c", "1z000", "1h00", "1h", "1c00000AA0000a", "1s0000000000"})
        EXPECT_FALSE(policy.on_gossip(clean.now, 1, malformed));
    EXPECT_FALSE(policy.on_gossip(clean.now, 1, std::string(1000, '1')));
    EXPECT_FALSE(policy.on_gossip(clean.now, 1, std::string("\0\xff{", 3)));
    for (const int replica : {-1, 0, 6}) EXPECT_FALSE(policy.on_gossip(clean.now, replica, "1h00000"));
    EXPECT_TRUE(policy.on_gossip(clean.now, 1, "1h00000"));
}

// Guards against one replica whose false counts and sums keep all other replicas away from a server.
TEST(Gossip, FalseLoadsOfOneReplicaDoNotMakeServersLookFull) {
    SimulatedGossipNetwork network(6, 4);
    network.adopt_on_four_servers(2);
    network.copies = [](Datagram& datagram) {
        const auto message = gossip::parse_message(datagram.bytes);
        if (datagram.from != 3 || !message || message->kind == gossip::MessageKind::group_locations) return 1;
        const auto false_load = [](const char* server) {
            return gossip::ServerLoad{gossip::ShortServerIds::short_id_of(server), 1500};
        };
        datagram.bytes = gossip::encode_round_loads(message->kind, message->round, message->reporter_count,
                                                    10, {false_load("s0"), false_load("s1")});
        return 1;
    };
    for (int rounds = 0; rounds < 14; ++rounds) {
        network.run(seconds(5));
        for (const int k : {0, 1, 2, 4, 5})
            for (const char* server : {"s0", "s1", "s2", "s3"})
                EXPECT_TRUE(network.inspect(k).has_room_for_group(network.now, server));
    }
}

TEST(Gossip, NextReplicaPublishesSumsWhenTheReporterDies) {
    SimulatedGossipNetwork network(4, 4);
    network.adopt_on_four_servers(2);
    network.run(seconds(15) + millis(120));
    const int reporter = static_cast<int>(network.now.ns / seconds(5).ns % 4);
    const int other = (reporter + 1) % 4;
    network.replica(reporter).is_dead = true;
    network.run(seconds(12));
    EXPECT_EQ(network.inspect(other).fleet_trust(network.now), 1);
    EXPECT_GT(network.inspect(other).fleet_total(), 20);
}

// Guards against sending to a server that the replica's own endpoint list lacks or has as draining.
TEST(Gossip, GroupLocationOfUnknownOrDrainingServerIsNotUsed) {
    SimulatedGossipNetwork network(2, 3);
    Endpoint draining = make_endpoint("s2");
    draining.state = EndpointState::draining;
    network.policy(0).on_endpoints(network.now, EndpointUpdateKind::delta, {draining});
    for (const char* server : {"s2", "elsewhere"})
        EXPECT_TRUE(network.policy(0).on_gossip(network.now, 1, group_location("play", server)));
    for (RequestId id = 1; id < 9; ++id) {
        const ServerId to = network.place(0, id, "play");
        EXPECT_TRUE(to == "s0" || to == "s1");
    }
}

// Guards against group locations that make all balancers send to one server that is still warming up.
TEST(Gossip, WarmUpPermitsLimitGroupMembersOfAllReplicas) {
    SimulatedGossipNetwork network(8, 4);
    network.adopt_on_four_servers(2);
    network.run(seconds(11));
    Endpoint cold = make_endpoint("s9");
    cold.launched = network.now;
    for (int k = 0; k < 8; ++k) {
        network.policy(k).on_endpoints(network.now, EndpointUpdateKind::delta, {cold});
        network.policy(k).on_gossip(network.now, (k + 1) % 8, group_location("crowd", "s9"));
    }
    int sent_to_warming = 0;
    for (RequestId id = 1; id <= 160; ++id) {
        if (network.place(static_cast<int>(id) % 8, id, "crowd") == "s9") ++sent_to_warming;
        if (id % 8 == 0) network.run(millis(100));
    }
    // Up to 224 connections on five servers, two of the ten seconds of slow start: at most 2 x 0.2 of a
    // share, plus 8 for random variation.
    EXPECT_LE(sent_to_warming, 2 * 0.2 * 224 / 5 + 8);
}

// Guards against group locations that use more bandwidth than the requests do.
TEST(Gossip, PublishedGroupLocationsAreLimitedByRequests) {
    SimulatedGossipNetwork network(60, 6);
    size_t bytes = 0;
    network.copies = [&](Datagram& datagram) {
        if (datagram.bytes[1] == 'h') bytes += datagram.bytes.size();
        return 1;
    };
    network.adopt_on_four_servers(10);  // adopted connections earn no bandwidth
    network.run(seconds(2));
    EXPECT_GT(bytes, 0);
    EXPECT_LE(bytes, 60 * 2400);
    bytes = 0;
    for (RequestId id = 1; id <= 600; ++id) {
        network.place(static_cast<int>(id) % 60, id, "h" + std::to_string(id));
        if (id % 60 == 0) network.run(millis(200));
    }
    EXPECT_LE(bytes, 600 * 60 + 60 * 2400);
}

// Guards against the loss of group locations that exceed one message: they are published with the next
// request of the group.
TEST(Gossip, GroupLocationsBeyondOneMessageArePublishedLater) {
    SimulatedGossipNetwork network(2, 6);
    std::vector<size_t> sizes;
    network.copies = [&](Datagram& datagram) {
        if (datagram.bytes[1] == 'h') sizes.push_back(datagram.bytes.size());
        return 1;
    };
    for (int times = 0; times < 2; ++times) {
        for (int group = 0; group < 80; ++group) {
            const RequestId id = network.next_id++;
            network.policy(1).on_request_adopted(
                network.now, make_request(id, network.now, "", "g" + std::to_string(group)), "s0");
        }
        network.run(seconds(1));
    }
    EXPECT_EQ(sizes.size(), 2u);
    EXPECT_EQ(sizes[0], 2 + 5 * gossip::max_location_rows);
    EXPECT_GT(sizes[1], 2);
    EXPECT_LT(sizes[1], sizes[0]);
}

// Applies where traffic between zones has a cost.
TEST(Gossip, NearbyServerIsChosenBeforeGroupLocationInAnotherZone) {
    PolicyConfig config = make_replica_config(0);
    config.groups = true;
    config.gossip_enabled = true;
    config.replica_count = 2;
    config.cross_zone_cost = 0.1;
    auto&& [actions, policy, inspector] =
        PolicyFixture({make_endpoint("a"), make_endpoint("b"), make_endpoint("far", 1, 1)}, config);
    adopt_connections(policy, cycle_start, "a", 10, 6);
    adopt_connections(policy, cycle_start, "b", 20, 6);
    const auto round = static_cast<uint32_t>(cycle_start.ns / seconds(5).ns % gossip::round_modulus);
    const TimePoint now = cycle_start + seconds(5.3);  // an odd round, which the other replica sums
    EXPECT_TRUE(policy.on_gossip(
        now, 1, gossip::encode_round_loads(gossip::MessageKind::round_sum, round + 1, 2, 24, {})));
    EXPECT_EQ(inspector.fleet_trust(now), 1);
    EXPECT_TRUE(policy.on_gossip(now, 1, group_location("song", "far")));
    policy.on_request(now, make_request(1, now, "", "song"));
    EXPECT_NE(actions.attempts.back().server, "far");
    EXPECT_TRUE(policy.on_gossip(now, 1, group_location("song", "b")));
    policy.on_request(now, make_request(2, now, "", "song"));
    EXPECT_EQ(actions.attempts.back().server, "b");
}

// Captures and hot restarts transfer this state.
TEST(Gossip, RestoredStateHasAggregatedLoadsAndGroupLocations) {
    SimulatedGossipNetwork network(4, 6);
    network.adopt_on_four_servers(2);
    network.run(seconds(11));
    network.policy(0).on_gossip(network.now, 1, group_location("concert", "s5"));
    RecordingActions actions;
    BalancingPolicy other(make_config(), 9, actions, network.now);
    capture::restore(other, capture::state_of(network.policy(0)));
    EXPECT_EQ(PolicyInspector{other}.fleet_trust(network.now), 1);
    EXPECT_EQ(PolicyInspector{other}.fleet_load("s0"), network.inspect(0).fleet_load("s0"));
    other.on_request(network.now, make_request(1, network.now, "", "concert"));
    EXPECT_EQ(actions.attempts.back().server, "s5");
    EXPECT_GT(capture::state_of(other).size(), 0u);
}
