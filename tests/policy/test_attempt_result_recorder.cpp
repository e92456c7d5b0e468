// Tests which ends of attempts penalize the server, and which record a failover of the affinity key.
#include <gtest/gtest.h>

#include "policy/attempt_result_recorder.h"

namespace headrouter {
namespace {

constexpr TimePoint now{1'000'000'000'000 + seconds(1).ns};

class AttemptResultRecorderTest : public testing::Test {
   protected:
    AttemptResultRecorderTest() {
        config_.request_classes.resize(1);
        loads_.configure();
        servers_.begin_update();
        Endpoint endpoint;
        endpoint.server = "a";
        server_ = servers_.apply(endpoint).server;
        servers_.end_update(true);
        request_.key = "key";
        request_.attempts.push_back(Attempt{server_, now, false, false});
    }

    void end_setup(AttemptOutcome outcome) { recorder_.record(now, request_, {0, outcome, false, false}); }
    void end_connection(AttemptOutcome outcome) { recorder_.record(now, request_, {0, outcome, true, true}); }

    double failure_penalty() { return servers_[server_].outliers.failure_penalty(now); }
    const FailoverTable::Entry* failover() { return failovers_.find(now, "key"); }

    PolicyConfig config_;
    ServerTable servers_{config_};
    ServerLoads loads_{config_, servers_};
    WarmupAdmission warmup_{config_, servers_, loads_};
    DegradedServers degraded_{servers_, loads_, warmup_};
    ServerHealth health_{servers_, loads_, degraded_};
    FailoverTable failovers_;
    EarlyResetRate early_resets_;
    AttemptResultRecorder recorder_{{config_, servers_, health_, failovers_, early_resets_}};
    ServerIndex server_;
    RequestState request_;
};

TEST_F(AttemptResultRecorderTest, FailureBeforeEstablishmentPenalizesServerAndRecordsFailover) {
    for (const AttemptOutcome outcome : {AttemptOutcome::error, AttemptOutcome::timed_out,
                                         AttemptOutcome::connect_failed, AttemptOutcome::reset}) {
        const double before = failure_penalty();
        end_setup(outcome);
        EXPECT_DOUBLE_EQ(failure_penalty(), before + OutlierDetector::penalty_failed);
        ASSERT_TRUE(failover());
        EXPECT_EQ(failover()->server, server_);
        EXPECT_FALSE(failover()->is_parked);
    }
}

TEST_F(AttemptResultRecorderTest, ServerAtCapacityGetsSmallerPenalty) {
    end_setup(AttemptOutcome::at_capacity);
    EXPECT_DOUBLE_EQ(failure_penalty(), OutlierDetector::penalty_at_capacity);
    EXPECT_TRUE(failover());
}

TEST_F(AttemptResultRecorderTest, CompletedCancelledOrUnsentAttemptAddsNoPenalty) {
    for (const AttemptOutcome outcome :
         {AttemptOutcome::completed, AttemptOutcome::cancelled, AttemptOutcome::not_sent}) {
        end_setup(outcome);
        end_connection(outcome);
    }
    EXPECT_EQ(failure_penalty(), 0);
    EXPECT_FALSE(failover());
}

TEST_F(AttemptResultRecorderTest, OnlyResetConnectionCountsAsEarlyReset) {
    early_resets_.on_established(now);
    end_connection(AttemptOutcome::error);
    EXPECT_EQ(early_resets_.rate(now), 0);
    end_connection(AttemptOutcome::reset);
    EXPECT_DOUBLE_EQ(early_resets_.rate(now), 0.5);
    EXPECT_FALSE(failover());
}

TEST_F(AttemptResultRecorderTest, CancelledConnectionIsRecordedAsParkedInPassthroughMode) {
    config_.passthrough = true;
    end_connection(AttemptOutcome::cancelled);
    ASSERT_TRUE(failover());
    EXPECT_TRUE(failover()->is_parked);
    EXPECT_EQ(failure_penalty(), 0);
}

}  // namespace
}  // namespace headrouter
