// Tests what a faulty link does to datagrams and which balancers still receive them.
#include "gossip/gossip_message.h"
#include "policy_helpers.h"
#include "scenario/links.h"
#include "scenario/scenario.h"

using namespace headrouter::scenario;

static FaultInjection injection(FaultKind kind, std::vector<int> balancers, double size = 1,
                                Way way = Way::both) {
    FaultInjection s;
    s.fault.kind = kind;
    s.fault.size = size;
    s.fault.way = way;
    s.balancers = std::move(balancers);
    s.from = TimePoint{} + seconds(1), s.until = TimePoint{} + seconds(2);
    return s;
}

static const TimePoint during_fault = TimePoint{} + seconds(1.5), after_fault = TimePoint{} + seconds(2);

static size_t copies(Links& l, int from, int to, TimePoint at = during_fault) {
    return l.carry(at, from, to, "told").size();
}

TEST(Links, DropFaultLosesDatagramsOnlyWhileActive) {
    Links l({injection(FaultKind::drop, {1})}, 4, 1);
    EXPECT_EQ(copies(l, 1, 2, TimePoint{}), 1);
    EXPECT_EQ(copies(l, 1, 2), 0);
    EXPECT_EQ(copies(l, 2, 1), 0);
    EXPECT_EQ(copies(l, 2, 3), 1);
    EXPECT_EQ(copies(l, 1, 2, after_fault), 1);
    Links some({injection(FaultKind::drop, {0, 1, 2, 3}, 0.4)}, 4, 1);
    size_t passed = 0;
    for (int k = 0; k < 1000; ++k) passed += copies(some, 0, 1);
    EXPECT_GT(passed, 550);
    EXPECT_LT(passed, 650);
}

TEST(Links, OneWayDropAffectsOnlyItsDirection) {
    Links receive_fault({injection(FaultKind::drop, {1}, 1, Way::in)}, 4, 1);
    EXPECT_EQ(copies(receive_fault, 0, 1), 0);
    EXPECT_EQ(copies(receive_fault, 1, 0), 1);
    Links send_fault({injection(FaultKind::drop, {1}, 1, Way::out)}, 4, 1);
    EXPECT_EQ(copies(send_fault, 0, 1), 1);
    EXPECT_EQ(copies(send_fault, 1, 0), 0);
}

TEST(Links, SplitCutsOnlyBetweenTheGroups) {
    Links l({injection(FaultKind::split, {0, 1})}, 4, 1);
    EXPECT_EQ(copies(l, 0, 1), 1);
    EXPECT_EQ(copies(l, 2, 3), 1);
    EXPECT_EQ(copies(l, 0, 2), 0);
    EXPECT_EQ(copies(l, 3, 1), 0);
    EXPECT_EQ(copies(l, 0, 2, after_fault), 1);
}

TEST(Links, IsolatedBalancerStillReachesTheNextNumbers) {
    Links l({injection(FaultKind::alone, {9}, 2)}, 10, 1);
    EXPECT_EQ(copies(l, 9, 0), 1);
    EXPECT_EQ(copies(l, 1, 9), 1);  // the next two by number
    EXPECT_EQ(copies(l, 9, 2), 0);
    EXPECT_EQ(copies(l, 8, 9), 0);
    EXPECT_EQ(copies(l, 2, 3), 1);
}

TEST(Links, DelayRepeatSpoilAndReorderChangeTheDatagrams) {
    FaultInjection late = injection(FaultKind::delay, {0});
    late.fault.span = millis(200), late.fault.spread = millis(100);
    Links delayed({late}, 2, 1);
    for (int k = 0; k < 100; ++k) {
        const Duration by = delayed.carry(during_fault, 0, 1, "told")[0].later;
        EXPECT_GE(by, millis(200));
        EXPECT_LT(by, millis(300));
    }
    Links twice({injection(FaultKind::repeat, {0})}, 2, 1);
    const auto both = twice.carry(during_fault, 0, 1, "told");
    EXPECT_EQ(both.size(), 2u);
    EXPECT_GT(both[1].later, both[0].later);
    EXPECT_EQ(both[1].bytes, "told");
    Links corrupted({injection(FaultKind::spoil, {0})}, 2, 1);
    for (int k = 0; k < 100; ++k) EXPECT_NE(corrupted.carry(during_fault, 0, 1, "told")[0].bytes, "told");
    Links mixed({injection(FaultKind::reorder, {0}, 0.5)}, 2, 1);
    int overtaken = 0;
    for (int k = 0; k < 100; ++k) overtaken += mixed.carry(during_fault, 0, 1, "told")[0].later.ns > 0;
    EXPECT_GT(overtaken, 25);
    EXPECT_LT(overtaken, 75);
}

TEST(Links, SameSeedGivesSameInjectionsAndTimelineListsThem) {
    Scenario w;
    w.balancers = 50;
    Fault f;
    f.kind = FaultKind::split;
    f.at = TimePoint{} + seconds(3), f.lasts = seconds(2), f.part = 0.3;
    w.faults = {f};
    f.kind = FaultKind::stall, f.numbers = {7}, f.at = TimePoint{} + seconds(1);
    w.faults.push_back(f);
    const auto a = injections_of(w, 5), b = injections_of(w, 5), c = injections_of(w, 6);
    EXPECT_EQ(a.size(), 2u);
    EXPECT_TRUE(a[0].balancers == std::vector<int>{7});
    EXPECT_EQ(a[1].balancers.size(), 15u);
    EXPECT_EQ(a[1].balancers, b[1].balancers);
    EXPECT_NE(a[1].balancers, c[1].balancers);
    EXPECT_NE(timeline_of(a).find("3.000 s to    5.000 s  split"), std::string::npos);
}

TEST(Links, LieFaultChangesOnlyTheReportedLoads) {
    const std::string load_report = gossip::encode_load_report(5, {{100, 1}, {200, 2}});
    const std::string headroom_report = gossip::encode_headroom(6, 55, {1, 1, 1, 1});
    for (const double how : {0.0, 1.0, 2.0}) {
        Links l({injection(FaultKind::lie, {1}, how)}, 3, 1);
        const auto a = gossip::parse_message(l.carry(during_fault, 1, 0, load_report)[0].bytes);
        ASSERT_TRUE(a);
        EXPECT_EQ(a->loads.size(), 2u);
        EXPECT_EQ(a->timestamp, 5);
        EXPECT_EQ((a->loads[0].load > 100), (how != 0));
        const auto b = gossip::parse_message(l.carry(during_fault, 1, 2, headroom_report)[0].bytes);
        ASSERT_TRUE(b);
        EXPECT_EQ(b->list_checksum, 55);
        EXPECT_EQ(std::count(b->headroom.begin(), b->headroom.end(), 3), (how == 0 ? 6 : how == 1 ? 0 : 1));
        EXPECT_EQ(l.carry(during_fault, 0, 1, load_report)[0].bytes, load_report);
    }
}
