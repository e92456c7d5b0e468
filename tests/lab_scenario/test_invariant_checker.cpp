#include "policy_helpers.h"
#include "scenario/invariant_checker.h"

using namespace headrouter::scenario;

static TimePoint at(double s) { return TimePoint{} + seconds(s); }

// A checker for four servers in two zones; request classes: 0 non-idempotent, 1 keyed with deduplication
// inside a zone, 2 idempotent.
struct CheckerFixture {
    Scenario w;
    InvariantChecker checker;
    CheckerFixture() : w(made()), checker(w, millis(50)) {}
    static Scenario made() {
        Scenario w;
        w.servers = 4;
        w.traffic.types.resize(3);
        w.traffic.types[0].idempotency = Idempotency::non_idempotent;
        w.traffic.types[1].idempotency = Idempotency::keyed;
        w.traffic.types[1].dedup_scope = DedupScope::zone;
        w.traffic.types[1].dedup_window = seconds(1);
        return w;
    }
    void ran(double t, uint64_t request, int server) {
        checker.attempt_began(at(t), request, server, 0);
        checker.attempt_ran(at(t), request, server);
    }
    bool only_violation(Rule r, uint64_t n = 1) const {
        return checker.broken() == n && checker.broken(r) == n && !checker.examples().empty();
    }
    bool no_violation() const { return checker.broken() == 0; }
};

TEST(InvariantChecker, RequestAnsweredBeforeDeadlineBreaksNoRule) {
    CheckerFixture f;
    f.checker.opened(at(1), 5, 2, 0);
    f.ran(1, 5, 0);
    f.checker.answered(at(2.9), 5, Answer::up);
    f.checker.answered(at(9), 5, Answer::ended);
    f.checker.attempt_ended(at(9), 5, 0);
    f.checker.finish(at(60));
    EXPECT_TRUE(f.no_violation());
    EXPECT_EQ(f.checker.requests(), 1);
}

TEST(InvariantChecker, AnswerAfterDeadlineCountsAsRequestLost) {
    CheckerFixture f;
    f.checker.opened(at(1), 5, 2, 0);
    f.checker.answered(at(3.04), 5, Answer::busy);  // within the slack
    EXPECT_TRUE(f.no_violation());
    f.checker.opened(at(1), 6, 2, 0);
    f.checker.answered(at(3.06), 6, Answer::busy);
    EXPECT_TRUE(f.only_violation(Rule::request_lost));
}

TEST(InvariantChecker, MissingAnswerCountsAsRequestLost) {
    CheckerFixture f;
    f.checker.opened(at(1), 5, 2, 0);
    f.checker.client_left(5, true);
    f.checker.finish(at(10));
    EXPECT_TRUE(f.only_violation(Rule::request_lost));
}

TEST(InvariantChecker, ClientThatLeavesBeforeDeadlineNeedsNoAnswer) {
    CheckerFixture f;
    f.checker.opened(at(1), 5, 2, 0);
    f.checker.client_left(5, false);
    f.checker.finish(at(10));
    EXPECT_TRUE(f.no_violation());
}

TEST(InvariantChecker, ConnectionEndBeforeAnswerCountsAsRequestLost) {
    CheckerFixture f;
    f.checker.opened(at(1), 5, 2, 0);
    f.checker.answered(at(1.5), 5, Answer::ended);
    EXPECT_TRUE(f.only_violation(Rule::request_lost));
}

TEST(InvariantChecker, RequestsOfKilledBalancerAreNotCountedAsLost) {
    CheckerFixture f;
    f.checker.opened(at(1), 5, 2, 0);
    f.checker.opened(at(1), 6, 2, 1);
    f.checker.balancer_died(0);
    f.checker.answered(at(1.5), 5, Answer::ended);
    f.checker.finish(at(10));
    EXPECT_TRUE(f.only_violation(Rule::request_lost));  // only request 6, which balancer 1 held
}

TEST(InvariantChecker, SecondAnswerAndLineAfterAnswerAreReported) {
    CheckerFixture f;
    f.checker.opened(at(1), 5, 2, 0);
    f.ran(1, 5, 0);
    f.checker.answered(at(1.1), 5, Answer::up);
    f.checker.answered(at(1.2), 5, Answer::up);
    f.checker.line_after_answer(at(1.3), 5);
    EXPECT_TRUE(f.only_violation(Rule::request_lost, 2));
}

TEST(InvariantChecker, NonIdempotentRequestRunsAgainOnlyAfterRejection) {
    CheckerFixture f;
    f.checker.opened(at(1), 5, 0, 0);
    f.ran(1, 5, 0);
    f.checker.attempt_rejected(5, 0);
    f.checker.attempt_ended(at(1.1), 5, 0);
    f.ran(1.2, 5, 1);
    EXPECT_TRUE(f.no_violation());
    f.checker.attempt_ended(at(1.3), 5, 1);
    f.ran(1.4, 5, 2);
    EXPECT_TRUE(f.only_violation(Rule::executed_twice));
}

TEST(InvariantChecker, KeyedRequestRunsAgainOnlyInsideItsZoneAndWindow) {
    for (const auto& [server, when, no_violation] :
         {std::tuple{2, 1.9, true}, {1, 1.9, false}, {2, 2.2, false}}) {
        CheckerFixture f;
        f.checker.opened(at(1), 5, 1, 0);
        f.ran(1, 5, 0);
        f.checker.attempt_ended(at(1.5), 5, 0);
        f.ran(when, 5, server);
        EXPECT_TRUE(no_violation ? f.no_violation() : f.only_violation(Rule::executed_twice));
    }
}

TEST(InvariantChecker, ConcurrentAttemptsAreReportedUnlessOverlapIsWithinSlack) {
    for (const auto& [end, no_violation] : {std::pair{1.24, true}, {1.5, false}}) {
        CheckerFixture f;
        f.checker.opened(at(1), 5, 2, 0);
        f.ran(1, 5, 0);
        f.ran(1.2, 5, 1);
        f.checker.attempt_ended(at(end), 5, 0);
        EXPECT_TRUE(no_violation ? f.no_violation() : f.only_violation(Rule::concurrent_attempts));
    }
    CheckerFixture f;  // the first attempt never ends
    f.checker.opened(at(1), 5, 2, 0);
    f.ran(1, 5, 0);
    f.ran(1.2, 5, 1);
    f.checker.finish(at(60));
    EXPECT_EQ(f.checker.broken(Rule::concurrent_attempts), 1);
}

TEST(InvariantChecker, AttemptAtDrainedServerAfterGraceIsReported) {
    CheckerFixture f;
    f.checker.told_unwanted(at(1), 0, 2);
    f.checker.told_unwanted(at(3), 0, 2);  // reported again: the first time counts
    f.checker.opened(at(4), 5, 2, 0);
    f.checker.attempt_began(at(4.04), 5, 2, 0);
    EXPECT_TRUE(f.no_violation());
    f.checker.attempt_began(at(4.06), 5, 2, 1);  // balancer 1 was not informed
    EXPECT_TRUE(f.no_violation());
    f.checker.attempt_began(at(4.06), 5, 2, 0);
    EXPECT_TRUE(f.only_violation(Rule::drain_broken));
    f.checker.told_wanted(0, 2);
    f.checker.attempt_began(at(9), 5, 2, 0);
    EXPECT_TRUE(f.only_violation(Rule::drain_broken));
}

TEST(InvariantChecker, RepeatedFailureOfColdServerCountsOnce) {
    CheckerFixture f;
    f.checker.fell(at(5), 3);
    f.checker.fell(at(6), 3);
    EXPECT_TRUE(f.only_violation(Rule::cold_server_overloaded));
}

TEST(InvariantChecker, CutConnectionIsReportedOnlyIfServerStillAnswers) {
    CheckerFixture f;
    for (const uint64_t request : {5, 6}) {
        f.checker.opened(at(1), request, 2, 0);
        f.ran(1, request, 0);
        f.checker.answered(at(1.1), request, Answer::up);
    }
    f.checker.cut(at(5), 5, false);
    EXPECT_TRUE(f.no_violation());
    f.checker.cut(at(5), 6, true);
    EXPECT_TRUE(f.only_violation(Rule::cut_without_move));
}

TEST(InvariantChecker, DelayQuantilesAreWithinBucketWidth) {
    CheckerFixture f;
    for (int k = 0; k < 99; ++k) f.checker.message(0, millis(10));
    f.checker.message(0, millis(1000));
    EXPECT_GE(f.checker.delay_quantile(0, 0.5), millis(9));
    EXPECT_LE(f.checker.delay_quantile(0, 0.5), millis(13));
    EXPECT_GE(f.checker.delay_quantile(0, 0.999), millis(900));
    EXPECT_LE(f.checker.delay_quantile(0, 0.999), millis(1300));
    EXPECT_EQ(f.checker.delay_quantile(1, 0.5), Duration{});
}
