// Fleets and tiers of any size: one balancer holding hundreds of connections, hundreds holding a few each.
#include "policy_helpers.h"

// Where the first call of each of `tier` balancers goes.
static std::vector<ServerId> first_choices(int tier, const std::vector<Endpoint>& list,
                                           const std::string& group = "") {
    std::vector<ServerId> chosen;
    for (int k = 0; k < tier; ++k) {
        auto&& [actions, policy, inspector] =
            PolicyFixture(list, make_replica_config(static_cast<uint64_t>(k)));
        policy.on_request(cycle_start, make_request(1, cycle_start, "", group));
        EXPECT_EQ(actions.attempts.size(), 1u);
        chosen.push_back(actions.attempts[0].server);
    }
    return chosen;
}

// With a share of a tenth no server stays below it with a connection counted: all balancers sent every
// request to the server of the largest weight.
TEST(Scale, SharesUnderOneConnectionReachEveryServerByWeight) {
    std::map<ServerId, int> requests;
    for (const ServerId& s : first_choices(600, make_endpoints(40))) ++requests[s];
    EXPECT_EQ(requests.size(), 40u);  // a server of weight 1 gets 10 of 600, one of weight 2 gets 20
    int light = 0, most = 0;
    for (const auto& [s, n] : requests) light += (s[0] - 'A') % 2 == 0 ? n : 0, most = std::max(most, n);
    EXPECT_GT(light, 140);
    EXPECT_LT(light, 260);
    EXPECT_LT(most, 45);
}

TEST(Scale, OneServerMoreOrLessChangesFewMembersOfTheSubsets) {
    int changed = 0;
    for (uint64_t k = 0; k < 200; ++k) {
        auto&& [actions, policy, inspector] = PolicyFixture(make_endpoints(40), make_replica_config(k));
        const std::vector<ServerId> before = inspector.subset(5);
        policy.on_endpoints(cycle_start, EndpointUpdateKind::snapshot, make_endpoints(41));
        for (const ServerId& s : inspector.subset(5)) changed += !std::count(before.begin(), before.end(), s);
    }
    EXPECT_GT(changed, 0);
    EXPECT_LT(changed, 50);  // of 1,000; its own part of them is 17 or 33
}

// Every balancer that shares nothing with the others must send a group to the same few servers.
TEST(Scale, BalancersAgreeOnAGroupsHome) {
    std::map<ServerId, int> requests;
    for (const ServerId& s : first_choices(300, make_endpoints(40), "g")) ++requests[s];
    int most = 0;
    for (const auto& [s, n] : requests) most = std::max(most, n);
    EXPECT_LE(requests.size(), 4u);
    EXPECT_GT(most, 150);
}

// i8e85f8: of 1,587 groups each balancer saw one member and opened it on up to five servers.
TEST(Scale, ABalancerThatHoldsNoTwoOfAGroupTakesGroupsForSmall) {
    const auto home = [](bool pairs) {
        std::map<ServerId, int> requests;
        for (uint64_t k = 0; k < 100; ++k) {
            auto&& [actions, policy, inspector] = PolicyFixture(make_endpoints(40), make_replica_config(k));
            for (RequestId id = 1; id <= 16; ++id)
                policy.on_request_adopted(
                    cycle_start,
                    make_request(id, cycle_start, "",
                                 ServerId(1, static_cast<char>('h' + (pairs ? id / 4 : id)))),
                    ServerId(1, static_cast<char>('A' + id)));
            policy.on_request(cycle_start, make_request(100, cycle_start, "", "g"));
            ++requests[actions.attempts.at(0).server];
        }
        return requests.size();
    };
    EXPECT_LE(home(false), 2);
    EXPECT_GT(home(true), home(false));
}

// i61ff1f: what one balancer shed another brought back, as it held nothing there and knew of nothing slow.
TEST(Scale, ServersNotHeardOfAreSlowAsOftenAsTheOthers) {
    int refused = 0;
    for (uint64_t k = 0; k < 100; ++k) {
        auto&& [actions, policy, inspector] = PolicyFixture(make_endpoints(40), make_replica_config(k));
        for (RequestId id = 1; id <= 9; ++id) {
            const ServerId s(1, static_cast<char>('A' + id));
            adopt_connections(policy, cycle_start, s, id, 1);
            if (id <= 8) policy.on_latency_report(cycle_start, s, 900);
        }
        policy.on_request(cycle_start, make_request(100, cycle_start, "", "g"));
        refused += !actions.rejected.empty();
    }
    EXPECT_GT(refused, 60);
    EXPECT_LT(refused, 98);
}

// ief3d44: every balancer hears the same note, and all cut a server off alike. Each sheds its one connection
// by chance, so that together they shed the part that is too much, and only once.
TEST(Scale, HundredsShedAPartBetweenThem) {
    int shed = 0;
    for (uint64_t k = 0; k < 300; ++k) {
        auto&& [actions, policy, inspector] = PolicyFixture(make_endpoints(40), make_replica_config(k));
        adopt_connections(policy, cycle_start, "A", 1, 1);
        TimePoint now = cycle_start;
        for (const double ms : {600, 500, 400}) {  // the backlog goes down by itself after the first note
            policy.on_latency_report(now, "A", ms);
            now = now + seconds(1);
            for (const auto& [at, token] : actions.take_timers())
                if ((token & 0xff) == 3) policy.on_timer(now, token);
        }
        shed += static_cast<int>(actions.migrated.size());
    }
    EXPECT_GT(shed, 150);
    EXPECT_LT(shed, 240);  // 54 % on the first note, 17 % of the rest on each other
}

TEST(Scale, ANearServerComesFirstWhereCrossingIsDear) {
    for (const double price : {0.0, 0.1}) {
        PolicyConfig config = make_config();
        config.cross_zone_cost = price;
        auto&& [actions, policy, inspector] =
            PolicyFixture({make_endpoint("near", 1, 0), make_endpoint("far", 1, 1)}, config);
        adopt_connections(policy, cycle_start, "near", 1, 30);
        const double share = inspector.share(cycle_start, "far");
        EXPECT_TRUE(price > 0 ? share < 6 : share > 14);
    }
}

// Lists as no operator means them: sane shares or an answer in time, never a crash nor a division by nothing.
TEST(Scale, OddListsLeaveSaneShares) {
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
    Endpoint gone = make_endpoint("a");
    gone.state = EndpointState::removed;
    policy.on_endpoints(cycle_start, EndpointUpdateKind::delta, {gone});
    EXPECT_EQ(inspector.share(cycle_start, "b"), 10);
    policy.on_endpoints(cycle_start, EndpointUpdateKind::delta,
                        {make_endpoint("a"), make_endpoint("a")});  // back under the same name, twice
    policy.on_endpoints(cycle_start, EndpointUpdateKind::cached,
                        {make_endpoint("b"), make_endpoint("old")});  // older than the one held
    policy.on_request(cycle_start, make_request(50, cycle_start));
    EXPECT_EQ(actions.attempts.size(), 1u);
    EXPECT_NE(actions.attempts[0].server, "a");
}

// 1,100 servers and as many balancers, half of the servers cold, messages permitted: every server is used by
// somebody, and the words of the last balancer are understood.
TEST(Scale, OverAThousandServersAndBalancers) {
    constexpr int many = 1100;
    std::vector<Endpoint> list;
    for (int k = 0; k < many; ++k) {
        list.push_back(make_endpoint("s-" + std::to_string(k)));
        if (k % 2) list.back().launched = cycle_start - seconds(4);
    }
    std::map<ServerId, int> requests;
    for (uint64_t slot = 0; slot < many; slot += 10) {
        PolicyConfig config = make_replica_config(slot);
        config.replica_count = many, config.gossip_enabled = true, config.quota = 20.0 * many;
        auto&& [actions, policy, inspector] = PolicyFixture(list, config);
        for (RequestId id = 1; id <= 30; ++id) {
            const TimePoint now = cycle_start + seconds(2) + millis(static_cast<double>(id));
            policy.on_request(now, make_request(id, now));
            EXPECT_EQ(actions.attempts.size(), id);
            EXPECT_TRUE(actions.rejected.empty());
            ++requests[actions.attempts.back().server];
        }
        if (slot == 0) {
            PolicyConfig last = config;
            last.replica_index = many - 1;
            auto&& [last_actions, last_policy, last_inspector] = PolicyFixture(list, last);
            adopt_connections(last_policy, cycle_start, "s-1099", 1, 3);
            for (const auto& [at, token] : last_actions.take_timers())
                last_policy.on_timer(std::max(at, cycle_start), token);
            EXPECT_FALSE(last_actions.gossip.empty());
            for (const auto& [to, bytes] : last_actions.gossip)
                EXPECT_TRUE(bytes.size() <= 256 &&
                            policy.on_gossip(cycle_start + seconds(3), many - 1, bytes));
        }
    }
    size_t cold = 0;
    for (const auto& [id, n] : requests) cold += (id.back() - '0') % 2;
    EXPECT_GT(requests.size(), many / 2);
    EXPECT_GT(cold, many / 5);
}
