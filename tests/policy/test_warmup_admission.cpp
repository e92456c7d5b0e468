// Tests how much load a server that has just started may be sent.
#include <gtest/gtest.h>

#include "policy/warmup_admission.h"

using namespace headrouter;

namespace {

constexpr TimePoint start{1'000'000'000'000};

class WarmupAdmissionTest : public testing::Test {
   protected:
    WarmupAdmissionTest() {
        config_.slow_start_time = seconds(10);
        config_.request_classes.resize(1);
        loads_.configure();
        update({"warm", "other"});
    }

    void update(const std::vector<ServerId>& listed) {
        servers_.begin_update();
        for (const ServerId& id : listed) servers_.apply({id, 1, EndpointState::active, 0, 0, {}});
        servers_.end_update(true);
        warmup_.on_endpoints(start);
    }
    ServerState& server(const ServerId& id) { return servers_[servers_.find(id).value()]; }

    /// Returns how many attempts the server is sent in ten seconds, with one request every 10 ms.
    int sent_in_slow_start(ServerState& server) {
        int sent = 0;
        for (TimePoint now = start; now < start + seconds(10); now = now + millis(10)) {
            if (!warmup_.admits(now, server, 1)) continue;
            warmup_.on_attempt_sent(now, server);
            ++sent;
        }
        return sent;
    }

    PolicyConfig config_;
    ServerTable servers_{config_};
    ServerLoads loads_{config_, servers_};
    WarmupAdmission warmup_{config_, servers_, loads_};
};

}  // namespace

TEST_F(WarmupAdmissionTest, AdmitsWithoutPermitWhenServerIsWarm) {
    EXPECT_FALSE(warmup_.is_cold(start, server("warm")));
    EXPECT_EQ(warmup_.slow_start_factor(start, server("warm")), 1);
    for (int sent = 0; sent < 1000; ++sent) EXPECT_TRUE(warmup_.admits(start, server("warm"), 1));
}

TEST_F(WarmupAdmissionTest, SlowStartFactorGrowsUntilServerIsWarm) {
    server("warm").slow_start.begin(start, start);
    EXPECT_EQ(warmup_.slow_start_factor(start, server("warm")), 0);
    EXPECT_EQ(warmup_.slow_start_factor(start + seconds(5), server("warm")), 0.5);
    EXPECT_TRUE(warmup_.is_cold(start + millis(9'999), server("warm")));
    EXPECT_FALSE(warmup_.is_cold(start + seconds(10), server("warm")));
}

TEST_F(WarmupAdmissionTest, LimitsColdServerByItsPartOfTheQuota) {
    config_.quota = 200;
    server("warm").slow_start.begin(start, start);
    // The warm capacity is half of the quota, 100; the cold capacity is a tenth of that per second, and three
    // times the cold capacity within one second overloads the server.
    const double allowance = slow_start::overload_allowance(config_.slow_start_config(), 100);
    EXPECT_DOUBLE_EQ(allowance, 30);
    const double issued = 10 * slow_start::issued_allowance(allowance);
    const int sent = sent_in_slow_start(server("warm"));
    EXPECT_LE(sent, issued + 1);
    EXPECT_GE(sent, issued - 2);
}

TEST_F(WarmupAdmissionTest, KeepsColdServersPartWhenAnotherServerIsLost) {
    config_.quota = 200;
    update({"warm"});
    server("warm").slow_start.begin(start, start);
    const double issued =
        10 * slow_start::issued_allowance(slow_start::overload_allowance(config_.slow_start_config(), 100));
    EXPECT_LE(sent_in_slow_start(server("warm")), issued + 1);  // its part is still half of the quota
}
