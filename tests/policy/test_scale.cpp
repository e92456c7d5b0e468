// Tests fleets of different sizes, from one balancer with many connections to hundreds with a few each.
#include "policy_helpers.h"

/// Returns how many of `replica_count` balancers send their first request to each server.
static std::map<ServerId, int> first_choices(int replica_count, const std::vector<Endpoint>& endpoints,
                                             const std::string& group = "") {
    std::map<ServerId, int> requests;
    for (int k = 0; k < replica_count; ++k) {
        auto&& [actions, policy, inspector] =
            PolicyFixture(endpoints, make_replica_config(static_cast<uint64_t>(k)));
        policy.on_request(cycle_start, make_request(1, cycle_start, "", group));
        EXPECT_EQ(actions.attempts.size(), 1u);
        ++requests[actions.attempts[0].server];
    }
    return requests;
}

// Guards against sending every request to the server with the largest weight when each share is below one
// connection.
TEST(Scale, ReachesEveryServerByWeightWhenSharesAreBelowOneConnection) {
    const std::map<ServerId, int> requests = first_choices(600, make_endpoints(40));
    EXPECT_EQ(requests.size(), 40u);  // a server of weight 1 gets 10 of 600, one of weight 2 gets 20
    int at_weight_one = 0;
    int most = 0;
    for (const auto& [server, count] : requests) {
        if ((server[0] - 'A') % 2 == 0) at_weight_one += count;
        most = std::max(most, count);
    }
    EXPECT_GT(at_weight_one, 140);
    EXPECT_LT(at_weight_one, 260);
    EXPECT_LT(most, 45);
}

TEST(Scale, AddingAServerChangesFewSubsetMembers) {
    int changed = 0;
    for (uint64_t k = 0; k < 200; ++k) {
        auto&& [actions, policy, inspector] = PolicyFixture(make_endpoints(40), make_replica_config(k));
        const std::vector<ServerId> before = inspector.subset(5);
        policy.on_endpoints(cycle_start, EndpointUpdateKind::snapshot, make_endpoints(41));
        for (const ServerId& server : inspector.subset(5))
            if (std::count(before.begin(), before.end(), server) == 0) ++changed;
    }
    EXPECT_GT(changed, 0);
    EXPECT_LT(changed, 50);  // of 1,000; the new server's part of these is 17 or 33
}

// Balancers send a group to the same few servers without gossip.
TEST(Scale, BalancersWithoutGossipSelectTheSameServersForAGroup) {
    const std::map<ServerId, int> requests = first_choices(300, make_endpoints(40), "g");
    int most = 0;
    for (const auto& [server, count] : requests) most = std::max(most, count);
    EXPECT_LE(requests.size(), 4u);
    EXPECT_GT(most, 150);
}

// Guards against spreading a small group over many servers when each balancer has only one request of it.
TEST(Scale, AssumesSmallGroupsWhenNoGroupHasTwoRequests) {
    const auto count_servers = [](bool has_groups_of_four) {
        std::map<ServerId, int> requests;
        for (uint64_t k = 0; k < 100; ++k) {
            auto&& [actions, policy, inspector] = PolicyFixture(make_endpoints(40), make_replica_config(k));
            for (RequestId id = 1; id <= 16; ++id)
                policy.on_request_adopted(
                    cycle_start,
                    make_request(id, cycle_start, "",
                                 ServerId(1, static_cast<char>('h' + (has_groups_of_four ? id / 4 : id)))),
                    ServerId(1, static_cast<char>('A' + id)));
            policy.on_request(cycle_start, make_request(100, cycle_start, "", "g"));
            ++requests[actions.attempts.at(0).server];
        }
        return requests.size();
    };
    EXPECT_LE(count_servers(false), 2);
    EXPECT_GT(count_servers(true), count_servers(false));
}

// Guards against requests that a balancer without connections on a slow server sends there.
TEST(Scale, TreatsServersWithoutLatencyReportAsSlowAsOftenAsTheOthers) {
    int rejecting = 0;
    for (uint64_t k = 0; k < 100; ++k) {
        auto&& [actions, policy, inspector] = PolicyFixture(make_endpoints(40), make_replica_config(k));
        for (RequestId id = 1; id <= 9; ++id) {
            const ServerId server(1, static_cast<char>('A' + id));
            adopt_connections(policy, cycle_start, server, id, 1);
            if (id <= 8) policy.on_latency_report(cycle_start, server, 900);
        }
        policy.on_request(cycle_start, make_request(100, cycle_start, "", "g"));
        if (!actions.rejected.empty()) ++rejecting;
    }
    EXPECT_GT(rejecting, 60);
    EXPECT_LT(rejecting, 98);
}

// Guards against balancers that all migrate all their connections after the same latency report. Each
// balancer decides randomly whether to migrate its one connection, so that together they migrate the surplus,
// and only once.
TEST(Scale, HundredsOfBalancersTogetherMigrateOnlyTheSurplus) {
    int migrated = 0;
    for (uint64_t k = 0; k < 300; ++k) {
        auto&& [actions, policy, inspector] = PolicyFixture(make_endpoints(40), make_replica_config(k));
        adopt_connections(policy, cycle_start, "A", 1, 1);
        TimePoint now = cycle_start;
        for (const double latency_ms : {600, 500, 400}) {  // the backlog shrinks without further migrations
            policy.on_latency_report(now, "A", latency_ms);
            now = now + seconds(1);
            for (const auto& timer : actions.take_timers())
                if (timer.is(TimerKind::migrate_next)) policy.on_timer(now, timer.token);
        }
        migrated += static_cast<int>(actions.migrated.size());
    }
    EXPECT_GT(migrated, 150);
    EXPECT_LT(migrated, 240);  // 54 % on the first report, 17 % of the rest on each later one
}

TEST(Scale, PrefersServersOfOwnZoneWhenCrossingZonesHasACost) {
    for (const double cost : {0.0, 0.1}) {
        PolicyConfig config = make_config();
        config.cross_zone_cost = cost;
        auto&& [actions, policy, inspector] =
            PolicyFixture({make_endpoint("near", 1, 0), make_endpoint("far", 1, 1)}, config);
        adopt_connections(policy, cycle_start, "near", 1, 30);
        const double share = inspector.share(cycle_start, "far");
        EXPECT_TRUE(cost > 0 ? share < 6 : share > 14);
    }
}

// Guards against a crash or a division by zero with empty lists, zero weights and outdated lists.
TEST(Scale, KeepsSharesValidWithUnusualEndpointLists) {
    auto&& [idle_actions, idle_policy, idle_inspector] = PolicyFixture({});
    idle_policy.on_request(cycle_start, make_request(1, cycle_start, "", "g"));
    idle_policy.on_timer(cycle_start, 1);
    EXPECT_TRUE(idle_actions.attempts.empty());
    EXPECT_TRUE(idle_inspector.request(1).queued);

    auto&& [one_actions, one_policy, one_inspector] = PolicyFixture({make_endpoint("a", 0)});
    for (RequestId id = 1; id <= 5; ++id)
        one_policy.on_request(cycle_start, make_request(id, cycle_start, "", id % 2 ? "g" : ""));
    EXPECT_EQ(one_actions.attempts.size(), 5u);

    auto&& [actions, policy, inspector] = PolicyFixture({make_endpoint("a", 0), make_endpoint("b", 0)});
    adopt_connections(policy, cycle_start, "a", 1, 10);
    EXPECT_EQ(inspector.share(cycle_start, "a"), 5);
    EXPECT_EQ(inspector.share(cycle_start, "b"), 5);
    Endpoint removed = make_endpoint("a");
    removed.state = EndpointState::removed;
    policy.on_endpoints(cycle_start, EndpointUpdateKind::delta, {removed});
    EXPECT_EQ(inspector.share(cycle_start, "b"), 10);
    policy.on_endpoints(cycle_start, EndpointUpdateKind::delta,
                        {make_endpoint("a"), make_endpoint("a")});  // listed again under the same id, twice
    policy.on_endpoints(cycle_start, EndpointUpdateKind::cached,
                        {make_endpoint("b"), make_endpoint("old")});  // older than the current list
    policy.on_request(cycle_start, make_request(50, cycle_start));
    EXPECT_EQ(actions.attempts.size(), 1u);
    EXPECT_NE(actions.attempts[0].server, "a");
}

// 1,100 servers and as many balancers with gossip, half of the servers warming up. Also checks that the
// messages of the replica with the highest index are accepted.
TEST(Scale, UsesMostServersInAFleetOfOverAThousandServersAndBalancers) {
    constexpr int fleet_size = 1100;
    std::vector<Endpoint> endpoints;
    for (int k = 0; k < fleet_size; ++k) {
        endpoints.push_back(make_endpoint("s-" + std::to_string(k)));
        if (k % 2 == 1) endpoints.back().launched = cycle_start - seconds(4);
    }
    std::map<ServerId, int> requests;
    for (uint64_t index = 0; index < fleet_size; index += 10) {
        PolicyConfig config = make_replica_config(index);
        config.replica_count = fleet_size;
        config.gossip_enabled = true;
        config.quota = 20.0 * fleet_size;
        auto&& [actions, policy, inspector] = PolicyFixture(endpoints, config);
        for (RequestId id = 1; id <= 30; ++id) {
            const TimePoint now = cycle_start + seconds(2) + millis(static_cast<double>(id));
            policy.on_request(now, make_request(id, now));
            EXPECT_EQ(actions.attempts.size(), id);
            EXPECT_TRUE(actions.rejected.empty());
            ++requests[actions.attempts.back().server];
        }
        if (index == 0) {
            PolicyConfig last = config;
            last.replica_index = fleet_size - 1;
            auto&& [last_actions, last_policy, last_inspector] = PolicyFixture(endpoints, last);
            adopt_connections(last_policy, cycle_start, "s-1099", 1, 3);
            for (const auto& [due, token] : last_actions.take_timers())
                last_policy.on_timer(std::max(due, cycle_start), token);
            EXPECT_FALSE(last_actions.gossip.empty());
            for (const auto& [receiver, bytes] : last_actions.gossip) {
                EXPECT_LE(bytes.size(), 256);
                EXPECT_TRUE(policy.on_gossip(cycle_start + seconds(3), fleet_size - 1, bytes));
            }
        }
    }
    size_t used_and_warming = 0;
    for (const auto& [server, count] : requests)
        if ((server.back() - '0') % 2 == 1) ++used_and_warming;
    EXPECT_GT(requests.size(), fleet_size / 2);
    EXPECT_GT(used_and_warming, fleet_size / 5);
}
