// Tests the order, the timer and the deadline check of queued requests.
#include <gtest/gtest.h>

#include <vector>

#include "policy/request_queue.h"
#include "policy/timers.h"

namespace headrouter {
namespace {

constexpr TimePoint now{1'000'000'000'000};
constexpr Duration retry_interval = millis(20);

class TimerRecorder : public PolicyActions {
   public:
    void start_attempt(RequestId, const ServerId&, Duration) override { ADD_FAILURE(); }
    void reject(RequestId, Duration) override { ADD_FAILURE(); }
    void fail(RequestId) override { ADD_FAILURE(); }
    void migrate(RequestId) override { ADD_FAILURE(); }
    void set_timer(TimePoint at, uint64_t token) override {
        EXPECT_EQ(token, timer_token(TimerKind::retry_queued));
        timers.push_back(at);
    }
    void watch_endpoints() override { ADD_FAILURE(); }
    void send_gossip(int, const std::string&) override { ADD_FAILURE(); }

    std::vector<TimePoint> timers;
};

RequestState request_with(RequestId id, Duration time_left = seconds(2)) {
    RequestState request;
    request.id = id;
    request.deadline = now + time_left;
    return request;
}

class RequestQueueTest : public testing::Test {
   protected:
    RequestQueueTest() { config_.step = millis(2); }

    PolicyConfig config_;
    TimerRecorder actions_;
    RequestQueue queue_{config_, actions_};
};

TEST_F(RequestQueueTest, ReturnsEachRequestOnceInOrderOfArrival) {
    RequestState first = request_with(7);
    RequestState second = request_with(3);
    queue_.add(now, first);
    queue_.add(now, second);
    queue_.add(now, first);
    EXPECT_TRUE(first.queued);
    EXPECT_EQ(queue_.take_all(), (std::deque<RequestId>{7, 3}));
    EXPECT_TRUE(queue_.take_all().empty());
}

TEST_F(RequestQueueTest, SetsNoSecondTimerBeforeFirstExpires) {
    RequestState first = request_with(1);
    RequestState second = request_with(2);
    queue_.add(now, first);
    queue_.add(now + millis(5), second);
    EXPECT_EQ(actions_.timers, (std::vector<TimePoint>{now + retry_interval}));
    EXPECT_EQ(queue_.take_all().size(), 2);
    first.queued = false;
    queue_.add(now + retry_interval, first);
    EXPECT_EQ(actions_.timers.back(), now + retry_interval * 2);
}

TEST_F(RequestQueueTest, HasTimeForRequestWhoseDeadlineIsAfterNextTryAndTwoSteps) {
    const Duration least = retry_interval + config_.step * 2;
    EXPECT_FALSE(queue_.has_time_for(now, request_with(1, least)));
    EXPECT_TRUE(queue_.has_time_for(now, request_with(1, least + Duration{1})));
}

}  // namespace
}  // namespace headrouter
