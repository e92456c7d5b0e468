#include <cmath>

#include "policy_helpers.h"
#include "scenario/schedule.h"
#include "scenario/session.h"

using namespace headrouter::scenario;

static size_t arrivals_between(const std::vector<Session>& all, double from, double to) {
    return static_cast<size_t>(std::count_if(all.begin(), all.end(), [&](const Session& s) {
        return s.from >= TimePoint{} + seconds(from) && s.from < TimePoint{} + seconds(to);
    }));
}

TEST(Session, ArrivalRateAndLoadMatchRequestedUse) {
    Scenario w;
    w.servers = 10;
    w.length = seconds(100);
    const auto all = draw_sessions(w, 3);
    const double standing = 0.4 * capacity_of(w) / 8000;  // each loads a server with 8 ms per second
    EXPECT_LT(std::abs(double(arrivals_between(all, 10, 100)) / (standing / 30 * 90) - 1), 0.06);
    double load = 0;
    for (const Session& s : all) load += s.load / double(all.size());
    EXPECT_LT(std::abs(load - 8000), 200);
    for (size_t k = 0; k < all.size(); ++k)
        EXPECT_TRUE(all[k].number == k && (k == 0 || all[k].from >= all[k - 1].from));
}

TEST(Session, SameSeedDrawsSameSessions) {
    Scenario w;
    const auto a = draw_sessions(w, 3), b = draw_sessions(w, 3), c = draw_sessions(w, 4);
    EXPECT_EQ(a.size(), b.size());
    EXPECT_EQ(a.back().from, b.back().from);
    EXPECT_EQ(a.back().load, b.back().load);
    EXPECT_NE(a.back().from, c.back().from);
}

TEST(Session, BurstMultipliesArrivalsWhileActive) {
    Scenario w;
    w.length = seconds(90);
    w.incidents.push_back({IncidentKind::burst, TimePoint{} + seconds(40), seconds(20), 1, 4});
    const auto all = draw_sessions(w, 3);
    const double times = double(arrivals_between(all, 40, 60)) / double(arrivals_between(all, 20, 40));
    EXPECT_GT(times, 3.5);
    EXPECT_LT(times, 4.5);
}

TEST(Session, HeavyIncidentMultipliesLoadOfItsPartOfSessions) {
    Scenario w;
    w.traffic.load_spread = 0;
    w.incidents.push_back({IncidentKind::heavy, TimePoint{} + seconds(20), seconds(20), 0.5, 10});
    size_t heavy = 0, all = 0;
    for (const Session& s : draw_sessions(w, 3))
        if (s.from >= TimePoint{} + seconds(20) && s.from < TimePoint{} + seconds(40))
            ++all, heavy += s.load == 80'000;
    EXPECT_LT(std::abs(double(heavy) / double(all) - 0.5), 0.1);
}

TEST(Session, BackoffDoublesUntilRetriesAreExhausted) {
    Traffic t;
    t.retries = 3;
    Pcg32 chance(1);
    ClientRetryPolicy p(t, TimePoint{} + seconds(100));
    const TimePoint now = TimePoint{} + seconds(1);
    for (int k = 0; k < 3; ++k) {
        const auto next = p.after_failure(now, chance);
        EXPECT_TRUE(next);
        EXPECT_GE(*next - now, millis(50 << k));
        EXPECT_LE(*next - now, millis(150 << k));
    }
    EXPECT_FALSE(p.after_failure(now, chance));
    EXPECT_TRUE(p.gave_up());
}

TEST(Session, RetryFollowsAdviceAndRetryCountResetsOnceEstablished) {
    Traffic t;
    t.retries = 1;
    Pcg32 chance(1);
    ClientRetryPolicy p(t, TimePoint{} + seconds(10));
    EXPECT_EQ(*p.after_busy(TimePoint{}, millis(700), chance), TimePoint{} + millis(700));
    p.came_up();
    EXPECT_TRUE(p.after_failure(TimePoint{}, chance));
    EXPECT_FALSE(p.gave_up());
    EXPECT_FALSE(p.after_break(TimePoint{} + seconds(11), chance));  // the session has ended
}

// ---- the schedule of incidents ----

static std::vector<ScheduledAction> actions(IncidentKind kind, double part = 0.25, double size = 3) {
    Scenario w;
    w.balancers = 4;
    w.gone_notice = seconds(2);
    w.incidents.push_back({kind, TimePoint{} + seconds(10), seconds(8), part, size});
    return schedule_of(w, 5);
}
static size_t count(const std::vector<ScheduledAction>& all, ScheduledAction::What what) {
    return static_cast<size_t>(
        std::count_if(all.begin(), all.end(), [&](const ScheduledAction& d) { return d.what == what; }));
}
using What = ScheduledAction::What;

TEST(Session, CrashIsListedAfterNoticeAndEndsInColdStart) {
    const auto all = actions(IncidentKind::crash);
    EXPECT_EQ(count(all, What::die), 3);
    EXPECT_EQ(count(all, What::list_gone), 3);
    EXPECT_EQ(count(all, What::start_cold), 3);
    for (const ScheduledAction& d : all) {
        if (d.what == What::list_gone) {
            EXPECT_EQ(d.at, TimePoint{} + seconds(12));
        }
        if (d.what == What::start_cold) {
            EXPECT_EQ(d.at, TimePoint{} + seconds(18));
        }
        if (d.what == What::list_serving) {
            EXPECT_EQ(d.at, TimePoint{} + seconds(19));
        }
    }
}

TEST(Session, CrashShorterThanNoticeIsListedAsRestart) {
    Scenario w;
    w.gone_notice = seconds(20);
    w.incidents.push_back({IncidentKind::crash, TimePoint{} + seconds(10), seconds(8), 0.25, 1});
    const auto all = schedule_of(w, 5);
    EXPECT_EQ(count(all, What::list_gone), 0);
    EXPECT_EQ(count(all, What::list_serving), 3);
}

TEST(Session, DeployRestartsServersOneAfterAnother) {
    const auto all = actions(IncidentKind::deploy, 0.5);
    EXPECT_EQ(count(all, What::drain), 6);
    EXPECT_EQ(count(all, What::start_cold), 6);
    int down = 0, most = 0;
    for (const ScheduledAction& d : all) {
        down += d.what == What::drain, down -= d.what == What::start_cold;
        most = std::max(most, down);
    }
    EXPECT_EQ(most, 1);
}

TEST(Session, EveryIncidentKindSchedulesItsBeginningAndItsEnd) {
    for (const auto& [kind, begin, end] :
         {std::tuple{IncidentKind::hang, What::hang, What::answer_again},
          {IncidentKind::slow, What::speed, What::speed},
          {IncidentKind::errors, What::errors, What::errors},
          {IncidentKind::full, What::full, What::full},
          {IncidentKind::vanish, What::vanish, What::start_cold},
          {IncidentKind::list_outage, What::list_silent, What::list_sound},
          {IncidentKind::list_garbled, What::list_garbled, What::list_sound},
          {IncidentKind::list_back, What::list_back, What::list_sound},
          {IncidentKind::balancer_crash, What::balancer_dies, What::balancer_starts}}) {
        const auto all = actions(kind);
        EXPECT_GT(count(all, begin), 0);
        EXPECT_EQ(count(all, begin), count(all, end));
    }
    EXPECT_EQ(count(actions(IncidentKind::shrink), What::die), 3);
    EXPECT_EQ(count(actions(IncidentKind::shrink), What::start_cold), 0);
    EXPECT_EQ(count(actions(IncidentKind::reconnect), What::clients_drop), 1);
}
