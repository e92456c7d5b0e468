#include "policy_helpers.h"
#include "upstream/report_classifier.h"

using Kind = ReportKind;

TEST(ReportClassifier, ReportsInPhaseAreLatencyReports) {
    ReportClassifier classifier(20);
    ReportHistory history;
    EXPECT_EQ(classifier.classify(cycle_start, history, 3000),
              Kind::load);  // the first report of a connection is its load, however small
    EXPECT_EQ(classifier.classify(cycle_start + seconds(0.5), history, 31), Kind::undecided);
    EXPECT_EQ(classifier.classify(cycle_start + seconds(0.9), history, 4847), Kind::load);
    EXPECT_EQ(classifier.classify(cycle_start + seconds(1.503), history, 32), Kind::latency);
    EXPECT_EQ(classifier.classify(cycle_start + seconds(2.5), history, 2000),
              Kind::latency);  // above the limit for the first latency of a series
    EXPECT_EQ(classifier.classify(cycle_start + seconds(3.5), history, 372949), Kind::load);
    EXPECT_EQ(classifier.classify(cycle_start + seconds(3.5), history, 12),
              Kind::latency);  // below the minimum: ends the series
    EXPECT_EQ(classifier.classify(cycle_start + seconds(4.5), history, 12), Kind::load);
}

TEST(ReportClassifier, SmallReportsOutOfPhaseAreLoads) {
    ReportClassifier classifier(20);
    ReportHistory history;
    EXPECT_EQ(classifier.classify(cycle_start, history, 2581), Kind::load);
    EXPECT_EQ(classifier.classify(cycle_start + seconds(14), history, 235), Kind::undecided);
    EXPECT_EQ(classifier.resolve_undecided(cycle_start + seconds(14.9), history), Kind::undecided);
    EXPECT_EQ(classifier.classify(cycle_start + seconds(15.13), history, 235), Kind::undecided);
    EXPECT_EQ(classifier.resolve_undecided(cycle_start + seconds(16.2), history), Kind::load);
    EXPECT_EQ(history.undecided_value, 235);
    EXPECT_EQ(history.last_load, 235.0);
    EXPECT_EQ(classifier.resolve_undecided(cycle_start + seconds(16.3), history), Kind::undecided);
}

TEST(ReportClassifier, PhaseOfOneConnectionAppliesToOthers) {
    ReportClassifier classifier(20);
    ReportHistory a, b, c;
    EXPECT_EQ(classifier.classify(cycle_start, a, 9000), Kind::load);
    EXPECT_EQ(classifier.classify(cycle_start, b, 9000), Kind::load);
    EXPECT_EQ(classifier.classify(cycle_start, c, 9000), Kind::load);
    EXPECT_EQ(classifier.classify(cycle_start + seconds(1), a, 40), Kind::undecided);
    EXPECT_EQ(classifier.classify(cycle_start + seconds(2), a, 50), Kind::latency);
    EXPECT_EQ(classifier.classify(cycle_start + seconds(7.002), b, 460), Kind::latency);
    EXPECT_EQ(classifier.classify(cycle_start + seconds(9.05), c, 460), Kind::undecided);
}

// The first second of an overload matters: small reports of several servers at the same moment are no
// coincidence, so they are latency reports without waiting for the next second.
TEST(ReportClassifier, TwoReportsAtSameMomentAreLatencyReports) {
    ReportClassifier classifier(20);
    ReportHistory a, b;
    EXPECT_EQ(classifier.classify(cycle_start, a, 9000), Kind::load);
    EXPECT_EQ(classifier.classify(cycle_start, b, 9000), Kind::load);
    EXPECT_EQ(classifier.classify(cycle_start + seconds(1), a, 90), Kind::undecided);
    EXPECT_EQ(classifier.classify(cycle_start + seconds(1.001), b, 70), Kind::latency);
    EXPECT_EQ(classifier.resolve_undecided(cycle_start + seconds(1.1), a), Kind::latency);
    EXPECT_EQ(a.undecided_value, 90);
    EXPECT_EQ(classifier.classify(cycle_start + seconds(2), a, 95), Kind::latency);
}

TEST(ReportClassifier, ReportFarBelowLastLoadIsLatencyReport) {
    ReportClassifier classifier(20);
    ReportHistory history;
    EXPECT_EQ(classifier.classify(cycle_start, history, 54847), Kind::load);
    EXPECT_EQ(classifier.classify(cycle_start + seconds(1), history, 31), Kind::latency);
}

TEST(ReportClassifier, AllReportsAreLoadsIfMinimumLatencyIsZero) {
    ReportClassifier classifier(0);
    ReportHistory history;
    for (int k = 0; k < 4; ++k)
        EXPECT_EQ(classifier.classify(cycle_start + seconds(k), history, 30), Kind::load);
}
