#include <cmath>

#include "policy_helpers.h"
#include "simulation/simulation.h"

using namespace headrouter::scenario;
using headrouter::simulation::Arm;
using headrouter::simulation::PolicyKind;

static Scenario world() {
    Scenario w;
    w.servers = 8;
    w.balancers = 3;
    w.length = seconds(30);
    w.judged_from = seconds(6);
    w.kinds[0].cold_from = 0.4;
    w.kinds[0].slow_start_time = seconds(5);
    w.traffic.groups = 50;
    return w;
}
static Scenario with(IncidentKind kind, double part = 0.25, double size = 3, double lasts = 8) {
    Scenario w = world();
    w.incidents.push_back({kind, TimePoint{} + seconds(12), seconds(lasts), part, size});
    return w;
}
static Outcome brain(const Scenario& w, uint64_t seed = 1, int threads = 1) {
    return headrouter::simulation::run(w, {}, seed, threads);
}

TEST(Simulation, OneSeedGivesOneDigestAtAnyNumberOfThreads) {
    const Scenario w = with(IncidentKind::crash);
    const Outcome a = brain(w), b = brain(w), c = brain(w, 1, 4), d = brain(w, 2);
    EXPECT_EQ(a.digest, b.digest);
    EXPECT_EQ(a.digest, c.digest);
    EXPECT_EQ(a.served, c.served);
    EXPECT_EQ(a.events, c.events);
    EXPECT_NE(a.digest, d.digest);
}

TEST(Simulation, ACalmFleetServesEveryoneByEveryPolicy) {
    for (int k = 0; k <= static_cast<int>(PolicyKind::rendezvous); ++k) {
        const Outcome o = headrouter::simulation::run(world(), Arm{"a", static_cast<PolicyKind>(k)}, 1, 1);
        EXPECT_GT(o.service(), 0.99);
        EXPECT_EQ(o.rules_broken(), 0);
        EXPECT_EQ(o.failed, 0);
        EXPECT_GT(o.up, 100);
    }
}

TEST(Simulation, ACrashBreaksConnectionsAndTheyComeBack) {
    const Outcome o = brain(with(IncidentKind::crash)), calm = brain(world());
    EXPECT_GT(o.broken, 20);
    EXPECT_GT(o.up, calm.up + 20);
    EXPECT_EQ(o.rules_broken(), 0);
    const float down = o.use_each[14][static_cast<size_t>(o.actions[0].target)];
    EXPECT_LT(down, 0);  // it is seen to be down
}

TEST(Simulation, EachTroubleLeavesItsMark) {
    const Outcome calm = brain(world());
    const Outcome hang = brain(with(IncidentKind::hang)), vanish = brain(with(IncidentKind::vanish));
    EXPECT_GT(hang.moved, 20);
    EXPECT_GT(vanish.moved, 20);
    EXPECT_LT(hang.service(), calm.service());
    EXPECT_LT(vanish.service(), calm.service());
    const Outcome slow = brain(with(IncidentKind::slow, 0.5, 0.2));
    EXPECT_GT(slow.delay_99[0], millis(60));
    EXPECT_LT(calm.delay_99[0], millis(30));
    const Outcome errors = brain(with(IncidentKind::errors, 0.5, 1));
    EXPECT_GT(errors.attempts, errors.up + 5);
    EXPECT_GT(brain(with(IncidentKind::full, 0.5)).attempts, calm.attempts);
    const Outcome deploy = brain(with(IncidentKind::deploy, 0.5, 1, 12));
    EXPECT_GT(deploy.moved, 50);
    EXPECT_EQ(deploy.rules_broken(), 0);
    EXPECT_GT(brain(with(IncidentKind::burst, 1, 4)).requests, calm.requests * 5 / 4);
    EXPECT_GT(brain(with(IncidentKind::heavy, 0.5, 5)).delay_99[0], calm.delay_99[0]);
    EXPECT_GT(brain(with(IncidentKind::reconnect, 0.8)).up, calm.up + 100);
    const Outcome crash = brain(with(IncidentKind::balancer_crash, 0.34));
    EXPECT_GT(crash.broken, 50);
    EXPECT_EQ(crash.rules_broken(), 0);
    EXPECT_GT(brain(with(IncidentKind::shrink, 0.25)).moved, 20);
}

// A list that is down, garbled or old must not lead anyone to a server that drains.
TEST(Simulation, TroublesOfTheListBreakNoRule) {
    for (const IncidentKind kind :
         {IncidentKind::list_outage, IncidentKind::list_garbled, IncidentKind::list_back}) {
        Scenario w = with(kind, 1, 1, 12);
        w.incidents.push_back({IncidentKind::crash, TimePoint{} + seconds(14), seconds(4), 0.25, 1});
        const Outcome o = brain(w);
        EXPECT_EQ(o.rules_broken(), 0);
        EXPECT_GT(o.service(), 0.8);
    }
}

// Nothing in the machines spares a cold server, so a baseline shows that rule 4 can be broken here at all:
// many of the clients come again at once, when one server has just started.
TEST(Simulation, WhoeverPushesAColdServerIsFoundOut) {
    Scenario w = with(IncidentKind::crash, 0.13, 1, 4);
    w.traffic.use = 0.7;
    w.setup_work = millis(0.2);
    w.kinds[0].cold_from = 0.02;
    w.kinds[0].slow_start_time = seconds(30);
    w.incidents.push_back({IncidentKind::reconnect, TimePoint{} + seconds(17.7), Duration{}, 0.4, 1});
    const auto fell = static_cast<size_t>(Rule::cold_server_overloaded);
    EXPECT_EQ(headrouter::simulation::run(w, Arm{"least", PolicyKind::least_connections}, 1, 1).rules[fell],
              1);
    EXPECT_EQ(brain(w).rules_broken(), 0);
}

TEST(Simulation, AStopLeavesAPartialOutcome) {
    const std::atomic<bool> stop{true};
    const Outcome o = headrouter::simulation::run(world(), {}, 1, 1, &stop);
    EXPECT_TRUE(o.partial);
    EXPECT_EQ(o.requests, 0);
}

TEST(Simulation, OnceOnlyCallsRunOnceUnderErrorsAndHangs) {
    Scenario w = with(IncidentKind::errors, 0.5, 0.8);
    w.incidents.push_back({IncidentKind::hang, TimePoint{} + seconds(15), seconds(6), 0.3, 1});
    w.traffic.types.resize(3);
    w.traffic.types[1].name = "once", w.traffic.types[1].idempotency = Idempotency::non_idempotent;
    w.traffic.types[2].name = "ref", w.traffic.types[2].idempotency = Idempotency::keyed;
    w.traffic.types[2].dedup_scope = DedupScope::zone;
    for (const PolicyKind kind : {PolicyKind::balancing, PolicyKind::random}) {
        const Outcome o = headrouter::simulation::run(w, Arm{"a", kind}, 1, 1);
        EXPECT_EQ(o.rules_broken(), 0);
        EXPECT_GT(o.failed, 0);
    }
}
