// Tests OutlierDetector, the failure history of one server, in isolation.
#include <gtest/gtest.h>

#include "policy/outlier_detector.h"

using namespace headrouter;

namespace {

constexpr TimePoint start{1'000'000'000'000};

OutlierDetector detector_with_failures(int failures) {
    OutlierDetector detector;
    for (int k = 0; k < failures; ++k) detector.on_failure(start, OutlierDetector::penalty_failed);
    return detector;
}

OutlierDetector detector_after_cycle(int sent, int lost, bool expect_ejected) {
    OutlierDetector detector;
    for (int k = 0; k < sent; ++k) detector.count_sent();
    for (int k = 0; k < lost; ++k) detector.count_lost();
    EXPECT_EQ(detector.end_cycle(start), expect_ejected) << lost << " lost of " << sent;
    return detector;
}

}  // namespace

TEST(OutlierDetector, AllowsAttemptsAndReportsHealthyWithoutFailures) {
    const OutlierDetector detector;
    EXPECT_TRUE(detector.allows_attempt(start, 5));
    EXPECT_TRUE(detector.is_healthy(start));
    EXPECT_EQ(detector.trust(start), 1);
}

TEST(OutlierDetector, BackoffDoublesWithEachFailureUpToThreeSeconds) {
    EXPECT_TRUE(detector_with_failures(1).is_in_backoff(start + millis(399)));
    EXPECT_FALSE(detector_with_failures(1).is_in_backoff(start + millis(400)));
    EXPECT_TRUE(detector_with_failures(3).is_in_backoff(start + millis(1599)));
    EXPECT_FALSE(detector_with_failures(3).is_in_backoff(start + millis(1600)));
    EXPECT_TRUE(detector_with_failures(20).is_in_backoff(start + millis(2999)));
    EXPECT_FALSE(detector_with_failures(20).is_in_backoff(start + seconds(3)));
}

TEST(OutlierDetector, AllowsOneProbeAtATimeAfterBackoff) {
    const OutlierDetector detector = detector_with_failures(1);
    const TimePoint after_backoff = start + seconds(1);
    EXPECT_TRUE(detector.allows_attempt(after_backoff, 0));
    EXPECT_FALSE(detector.allows_attempt(after_backoff, 1));
}

TEST(OutlierDetector, EstablishedAttemptEndsBackoffAndReducesPenaltyByHalfAFailure) {
    OutlierDetector detector = detector_with_failures(1);
    detector.on_established(start);
    EXPECT_TRUE(detector.allows_attempt(start, 3));
    EXPECT_EQ(detector.failure_penalty(start), 0.5);
    EXPECT_FALSE(detector.is_healthy(start));
}

TEST(OutlierDetector, PenaltyHalvesInFourSeconds) {
    const OutlierDetector detector = detector_with_failures(1);
    EXPECT_EQ(detector.trust(start), 0.5);
    EXPECT_DOUBLE_EQ(detector.failure_penalty(start + seconds(4)), 0.5);
    EXPECT_DOUBLE_EQ(detector.failure_penalty(start + seconds(8)), 0.25);
}

TEST(OutlierDetector, DetectsCrashWhenAllConnectionsAreResetInARow) {
    OutlierDetector detector;
    EXPECT_FALSE(detector.on_reset(start, 0));  // one reset is no crash, even of the last connection
    EXPECT_TRUE(detector.on_reset(start + millis(500), 1));
    OutlierDetector slow;
    EXPECT_FALSE(slow.on_reset(start, 0));
    EXPECT_FALSE(slow.on_reset(start + seconds(1), 0));  // too late to count as the same crash
    OutlierDetector large;
    EXPECT_FALSE(large.on_reset(start, 9));
    EXPECT_FALSE(large.on_reset(start, 8));  // most of its connections remain
}

TEST(OutlierDetector, EjectsForThirtySecondsWhenUnderATenthOfTwentyAttemptsIsKept) {
    detector_after_cycle(19, 19, false);
    detector_after_cycle(20, 18, false);
    OutlierDetector detector = detector_after_cycle(20, 19, true);
    EXPECT_FALSE(detector.allows_attempt(start + millis(29'999), 0));
    EXPECT_TRUE(detector.allows_attempt(start + seconds(30), 0));
    EXPECT_FALSE(detector.end_cycle(start));  // end_cycle has reset the counts
}

TEST(OutlierDetector, RestartClearsFailuresOfThePreviousProcess) {
    OutlierDetector detector = detector_after_cycle(20, 20, true);
    detector.on_failure(start, OutlierDetector::penalty_at_capacity);
    detector.on_restart();
    EXPECT_TRUE(detector.allows_attempt(start, 1));
    EXPECT_TRUE(detector.is_healthy(start));
}
