#include "policy_helpers.h"
#include "upstream/report_classifier.h"

using Kind = ReportKind;

TEST(ReportClassifier, ReportsInPhaseAreLatencies) {
    ReportClassifier s(20);
    ReportHistory h;
    EXPECT_EQ(s.classify(cycle_start, h, 3000),
              Kind::load);  // a connection begins with its load, however small
    EXPECT_EQ(s.classify(cycle_start + seconds(0.5), h, 31), Kind::undecided);
    EXPECT_EQ(s.classify(cycle_start + seconds(0.9), h, 4847), Kind::load);
    EXPECT_EQ(s.classify(cycle_start + seconds(1.503), h, 32), Kind::latency);
    EXPECT_EQ(s.classify(cycle_start + seconds(2.5), h, 2000),
              Kind::latency);  // grown past what a first may be
    EXPECT_EQ(s.classify(cycle_start + seconds(3.5), h, 372949), Kind::load);
    EXPECT_EQ(s.classify(cycle_start + seconds(3.5), h, 12), Kind::latency);  // the last: back under
    EXPECT_EQ(s.classify(cycle_start + seconds(4.5), h, 12), Kind::load);
}

TEST(ReportClassifier, SmallLoadsOutOfPhaseStayLoads) {
    ReportClassifier s(20);
    ReportHistory h;
    EXPECT_EQ(s.classify(cycle_start, h, 2581), Kind::load);
    EXPECT_EQ(s.classify(cycle_start + seconds(14), h, 235), Kind::undecided);
    EXPECT_EQ(s.resolve_undecided(cycle_start + seconds(14.9), h), Kind::undecided);
    EXPECT_EQ(s.classify(cycle_start + seconds(15.13), h, 235), Kind::undecided);
    EXPECT_EQ(s.resolve_undecided(cycle_start + seconds(16.2), h), Kind::load);
    EXPECT_EQ(h.undecided_value, 235);
    EXPECT_EQ(h.last_load, 235.0);
    EXPECT_EQ(s.resolve_undecided(cycle_start + seconds(16.3), h), Kind::undecided);
}

TEST(ReportClassifier, OneServerGivesThePhaseToTheNext) {
    ReportClassifier s(20);
    ReportHistory a, b, c;
    EXPECT_EQ(s.classify(cycle_start, a, 9000), Kind::load);
    EXPECT_EQ(s.classify(cycle_start, b, 9000), Kind::load);
    EXPECT_EQ(s.classify(cycle_start, c, 9000), Kind::load);
    EXPECT_EQ(s.classify(cycle_start + seconds(1), a, 40), Kind::undecided);
    EXPECT_EQ(s.classify(cycle_start + seconds(2), a, 50), Kind::latency);
    EXPECT_EQ(s.classify(cycle_start + seconds(7.002), b, 460), Kind::latency);
    EXPECT_EQ(s.classify(cycle_start + seconds(9.05), c, 460), Kind::undecided);
}

// The first second of an overload counts: what comes from several servers at once is no chance.
TEST(ReportClassifier, TwoAtOneMomentAreLatencies) {
    ReportClassifier s(20);
    ReportHistory a, b;
    EXPECT_EQ(s.classify(cycle_start, a, 9000), Kind::load);
    EXPECT_EQ(s.classify(cycle_start, b, 9000), Kind::load);
    EXPECT_EQ(s.classify(cycle_start + seconds(1), a, 90), Kind::undecided);
    EXPECT_EQ(s.classify(cycle_start + seconds(1.001), b, 70), Kind::latency);
    EXPECT_EQ(s.resolve_undecided(cycle_start + seconds(1.1), a), Kind::latency);
    EXPECT_EQ(a.undecided_value, 90);
    EXPECT_EQ(s.classify(cycle_start + seconds(2), a, 95), Kind::latency);
}

TEST(ReportClassifier, NoLoadFallsToAThousandth) {
    ReportClassifier s(20);
    ReportHistory h;
    EXPECT_EQ(s.classify(cycle_start, h, 54847), Kind::load);
    EXPECT_EQ(s.classify(cycle_start + seconds(1), h, 31), Kind::latency);
}

TEST(ReportClassifier, WhereNoLatenciesAreReportedAllAreLoads) {
    ReportClassifier s(0);
    ReportHistory h;
    for (int k = 0; k < 4; ++k) EXPECT_EQ(s.classify(cycle_start + seconds(k), h, 30), Kind::load);
}
