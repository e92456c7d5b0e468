// The failure history of one server, without a policy around it.
#include <gtest/gtest.h>

#include "policy/outlier_detector.h"

using namespace headrouter;

namespace {

constexpr TimePoint start{1'000'000'000'000};

OutlierDetector failed_times(int times) {
    OutlierDetector detector;
    for (int k = 0; k < times; ++k) detector.on_failure(start, OutlierDetector::penalty_failed);
    return detector;
}

OutlierDetector ended_cycle(int sent, int lost, bool expect_ejected) {
    OutlierDetector detector;
    for (int k = 0; k < sent; ++k) detector.count_sent();
    for (int k = 0; k < lost; ++k) detector.count_lost();
    EXPECT_EQ(detector.end_cycle(start), expect_ejected) << lost << " lost of " << sent;
    return detector;
}

}  // namespace

TEST(OutlierDetector, ASoundServerIsSelectableAndClear) {
    const OutlierDetector detector;
    EXPECT_TRUE(detector.allows_attempt(start, 5));
    EXPECT_TRUE(detector.is_clear(start));
    EXPECT_EQ(detector.trust(start), 1);
}

TEST(OutlierDetector, TheBackoffDoublesWithEachFailureUpToThreeSeconds) {
    EXPECT_TRUE(failed_times(1).is_in_backoff(start + millis(399)));
    EXPECT_FALSE(failed_times(1).is_in_backoff(start + millis(400)));
    EXPECT_TRUE(failed_times(3).is_in_backoff(start + millis(1599)));
    EXPECT_FALSE(failed_times(3).is_in_backoff(start + millis(1600)));
    EXPECT_TRUE(failed_times(20).is_in_backoff(start + millis(2999)));
    EXPECT_FALSE(failed_times(20).is_in_backoff(start + seconds(3)));
}

TEST(OutlierDetector, AFailingServerGetsOneProbeAtATime) {
    const OutlierDetector detector = failed_times(1);
    const TimePoint after_backoff = start + seconds(1);
    EXPECT_TRUE(detector.allows_attempt(after_backoff, 0));
    EXPECT_FALSE(detector.allows_attempt(after_backoff, 1));
}

TEST(OutlierDetector, AnEstablishedAttemptEndsTheBackoffAndForgivesHalfAFailure) {
    OutlierDetector detector = failed_times(1);
    detector.on_established(start);
    EXPECT_TRUE(detector.allows_attempt(start, 3));
    EXPECT_EQ(detector.failure_penalty(start), 0.5);
    EXPECT_FALSE(detector.is_clear(start));
}

TEST(OutlierDetector, ThePenaltyFadesByHalfInFourSeconds) {
    const OutlierDetector detector = failed_times(1);
    EXPECT_EQ(detector.trust(start), 0.5);
    EXPECT_DOUBLE_EQ(detector.failure_penalty(start + seconds(4)), 0.5);
    EXPECT_DOUBLE_EQ(detector.failure_penalty(start + seconds(8)), 0.25);
}

TEST(OutlierDetector, ResetsInARowOfAllConnectionsAreACrash) {
    OutlierDetector detector;
    EXPECT_FALSE(detector.on_reset(start, 0));  // one reset is none, also of the last connection
    EXPECT_TRUE(detector.on_reset(start + millis(500), 1));
    OutlierDetector slow;
    EXPECT_FALSE(slow.on_reset(start, 0));
    EXPECT_FALSE(slow.on_reset(start + seconds(1), 0));  // too late to be the same crash
    OutlierDetector large;
    EXPECT_FALSE(large.on_reset(start, 9));
    EXPECT_FALSE(large.on_reset(start, 8));  // most of its connections hold
}

TEST(OutlierDetector, AServerThatKeepsUnderATenthOfTwentyIsEjectedForThirtySeconds) {
    ended_cycle(19, 19, false);
    ended_cycle(20, 18, false);
    OutlierDetector detector = ended_cycle(20, 19, true);
    EXPECT_FALSE(detector.allows_attempt(start + millis(29'999), 0));
    EXPECT_TRUE(detector.allows_attempt(start + seconds(30), 0));
    EXPECT_FALSE(detector.end_cycle(start));  // the counts began anew
}

TEST(OutlierDetector, ARestartForgetsTheFailuresOfTheOldProcess) {
    OutlierDetector detector = ended_cycle(20, 20, true);
    detector.on_failure(start, OutlierDetector::penalty_at_capacity);
    detector.on_restart();
    EXPECT_TRUE(detector.allows_attempt(start, 1));
    EXPECT_TRUE(detector.is_clear(start));
}
