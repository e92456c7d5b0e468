// Tests which requests a process admits, and the reason and retry delay of the rejected ones.
#include <gtest/gtest.h>

#include "router/admission_control.h"

namespace headrouter {
namespace {

constexpr TimePoint now{1'000'000'000'000};
constexpr auto new_request = AdmissionControl::RequestOrigin::new_request;
constexpr auto established_before = AdmissionControl::RequestOrigin::established_before;

class AdmissionControlTest : public testing::Test {
   protected:
    AdmissionControlTest() {
        config_.max_retry_after = seconds(2);
        environment_.is_endpoint_list_outdated = [this] { return is_list_outdated_; };
        environment_.find_shortage = [this] {
            ++shortage_checks_;
            return shortage_;
        };
    }

    PolicyConfig config_;
    RouterEnvironment environment_;
    ShutdownSchedule shutdown_;
    bool is_list_outdated_ = false;
    std::optional<Counter> shortage_;
    int shortage_checks_ = 0;
    AdmissionControl admission_{environment_, shutdown_, config_};
};

TEST_F(AdmissionControlTest, AdmitsRequestsIfNoResourceIsShort) {
    EXPECT_FALSE(admission_.check(new_request, now));
    EXPECT_FALSE(admission_.check(established_before, now));
}

TEST_F(AdmissionControlTest, RejectsNewRequestWithRetryAfterIfMemoryIsShort) {
    shortage_ = Counter::refused_for_memory;
    const std::optional<AdmissionRejection> rejection = admission_.check(new_request, now);
    ASSERT_TRUE(rejection);
    EXPECT_EQ(rejection->counter, Counter::refused_for_memory);
    EXPECT_EQ(rejection->reason, "refused_for_memory");
    EXPECT_EQ(rejection->retry_after, seconds(0.4));
}

TEST_F(AdmissionControlTest, RejectsNewRequestWithoutFreeingResourcesIfEndpointListIsOutdated) {
    is_list_outdated_ = true;
    shortage_ = Counter::refused_for_memory;
    const std::optional<AdmissionRejection> rejection = admission_.check(new_request, now);
    ASSERT_TRUE(rejection);
    EXPECT_EQ(rejection->counter, Counter::refused_for_outdated_list);
    EXPECT_EQ(rejection->retry_after, seconds(0.4));
    EXPECT_EQ(shortage_checks_, 0);
}

TEST_F(AdmissionControlTest, AdmitsEstablishedRequestDespiteShortageAndOutdatedList) {
    is_list_outdated_ = true;
    shortage_ = Counter::refused_for_descriptors;
    EXPECT_FALSE(admission_.check(established_before, now));
    EXPECT_EQ(shortage_checks_, 0);
}

TEST_F(AdmissionControlTest, RejectsEveryRequestWithoutRetryAfterWhileDraining) {
    shutdown_.start(now, seconds(4), ShutdownSchedule::Order::first);
    EXPECT_FALSE(admission_.check(new_request, now));
    const TimePoint draining = now + shutdown_accept_period;
    for (const auto origin : {new_request, established_before}) {
        const std::optional<AdmissionRejection> rejection = admission_.check(origin, draining);
        ASSERT_TRUE(rejection);
        EXPECT_EQ(rejection->counter, Counter::requests_rejected);
        EXPECT_EQ(rejection->reason, "shutting_down");
        EXPECT_EQ(rejection->retry_after, Duration{});
    }
}

}  // namespace
}  // namespace headrouter
