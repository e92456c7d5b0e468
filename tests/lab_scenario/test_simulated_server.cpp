#include <cmath>

#include "policy_helpers.h"
#include "scenario/simulated_server.h"

using namespace headrouter::scenario;
using How = SimulatedServer::SetUp::How;

static Scenario one_server_scenario(double cores = 1) {
    Scenario w;
    w.servers = 1;
    w.kinds[0].cores = cores;
    w.setup_work = millis(10);
    return w;
}
static TimePoint at(double s) { return TimePoint{} + seconds(s); }

TEST(SimulatedServer, HealthyServerAcceptsRequestAndReleasesItOnClose) {
    const Scenario w = one_server_scenario();
    SimulatedServer server(w.kinds[0], w, 1);
    const auto up = server.open(at(1), 7, 0, 100'000, "", seconds(2));
    EXPECT_EQ(up.how, How::up);
    EXPECT_GT(up.at, at(1));
    EXPECT_LT(up.at, at(1.05));
    EXPECT_EQ(server.asked(), 100'000);
    EXPECT_EQ(server.connections(), 1);
    EXPECT_EQ(server.by_type()[0], 1);
    EXPECT_TRUE(server.close(at(2), 7));
    EXPECT_FALSE(server.close(at(2), 7));
    EXPECT_EQ(server.asked(), 0);
}

TEST(SimulatedServer, WorkBeyondCapacityDelaysMessagesUntilBacklogIsDone) {
    const Scenario w = one_server_scenario();
    SimulatedServer server(w.kinds[0], w, 1);
    server.open(at(0), 1, 0, 1'500'000, "", seconds(2));  // 1.5 times its capacity
    const double after_two = to_seconds(server.delay(at(2)));
    EXPECT_GT(after_two, 0.9);
    EXPECT_LT(after_two, 1.1);
    server.close(at(2), 1);
    EXPECT_LT(to_seconds(server.delay(at(4))), 0.01);
}

TEST(SimulatedServer, SetupLongerThanWaitIsRejectedWhenWaitEnds) {
    const Scenario w = one_server_scenario();
    SimulatedServer server(w.kinds[0], w, 1);
    server.open(at(0), 1, 0, 2'000'000, "", seconds(2));
    const auto late = server.open(at(2), 2, 0, 1, "", millis(300));
    EXPECT_EQ(late.how, How::busy);
    EXPECT_EQ(late.at, at(2.3));
}

TEST(SimulatedServer, ConnectionLimitDrainAndFullRejectSetups) {
    Scenario w = one_server_scenario();
    w.kinds[0].most_connections = 1;
    SimulatedServer server(w.kinds[0], w, 1);
    EXPECT_EQ(server.open(at(0), 1, 0, 1, "", seconds(1)).how, How::up);
    EXPECT_EQ(server.open(at(0), 2, 0, 1, "", seconds(1)).how, How::busy);
    server.close(at(0), 1);
    server.set_full(true);
    EXPECT_EQ(server.open(at(0), 3, 0, 1, "", seconds(1)).how, How::busy);
    server.set_full(false);
    server.set_mode(at(0), Mode::draining);
    EXPECT_EQ(server.open(at(0), 4, 0, 1, "", seconds(1)).how, How::busy);
    EXPECT_TRUE(server.answers());
}

TEST(SimulatedServer, SetupsFailAtTheErrorRate) {
    Scenario w = one_server_scenario(1000);
    SimulatedServer server(w.kinds[0], w, 5);
    server.set_errors(0.25);
    int errors = 0;
    for (uint64_t k = 0; k < 4000; ++k)
        errors += server.open(at(1), k, 0, 0, "", seconds(1)).how == How::error;
    EXPECT_GT(errors, 850);
    EXPECT_LT(errors, 1150);
}

TEST(SimulatedServer, DeadServerRefusesHangingAndVanishedServersStaySilent) {
    const Scenario w = one_server_scenario();
    SimulatedServer server(w.kinds[0], w, 1);
    server.set_mode(at(0), Mode::dead);
    EXPECT_EQ(server.open(at(0), 1, 0, 1, "", seconds(1)).how, How::refused);
    for (const Mode mode : {Mode::hanging, Mode::vanished}) {
        server.set_mode(at(0), mode);
        EXPECT_EQ(server.open(at(0), 1, 0, 1, "", seconds(1)).how, How::silent);
        EXPECT_FALSE(server.answers());
    }
}

TEST(SimulatedServer, SetSpeedScalesCapacity) {
    const Scenario w = one_server_scenario();
    SimulatedServer server(w.kinds[0], w, 1);
    server.set_speed(at(1), 0.25);
    EXPECT_LT(std::abs(server.capacity(at(1)) - 250'000), 1);
}

static Scenario cold_server_scenario() {
    Scenario w = one_server_scenario();
    w.setup_work = Duration{};
    w.kinds[0].cold_from = 0.3;
    w.kinds[0].slow_start_time = seconds(8);
    return w;
}

TEST(SimulatedServer, ColdServerCapacityGrowsLinearly) {
    const Scenario w = cold_server_scenario();
    SimulatedServer server(w.kinds[0], w, 1);
    server.start_cold(at(10));
    EXPECT_LT(std::abs(server.capacity(at(10)) - 300'000), 1);
    EXPECT_LT(std::abs(server.capacity(at(14)) - 650'000), 1);
    server.work_left(at(19));
    EXPECT_LT(std::abs(server.capacity(at(19)) - 1'000'000), 1);
}

TEST(SimulatedServer, ColdServerOverloadedForTheWindowFailsAndStaysDead) {
    const Scenario w = cold_server_scenario();
    SimulatedServer server(w.kinds[0], w, 1);
    server.start_cold(at(10));
    server.open(at(10), 1, 0, 1'600'000, "",
                seconds(1));  // over 5 times its cold capacity, 1.6 times the warm one
    server.work_left(at(10.8));
    EXPECT_FALSE(server.fell());
    server.work_left(at(11.5));
    EXPECT_TRUE(server.fell());
    EXPECT_EQ(server.mode(), Mode::dead);
    server.start_cold(at(20));
    server.set_mode(at(20), Mode::running);
    EXPECT_EQ(server.mode(), Mode::dead);
}

TEST(SimulatedServer, ShortOverloadOrOverloadOfWarmServerDoesNotFailIt) {
    const Scenario w = cold_server_scenario();
    SimulatedServer server(w.kinds[0], w, 1);
    server.start_cold(at(10));
    server.open(at(10), 1, 0, 1'600'000, "", seconds(1));
    server.close(at(10.7), 1);
    server.work_left(at(13));
    EXPECT_FALSE(server.fell());
    server.work_left(at(30));
    server.open(at(30), 2, 0, 5'000'000, "", seconds(1));
    server.work_left(at(35));
    EXPECT_FALSE(server.fell());
}

TEST(SimulatedServer, GroupLoadCountsOncePerServer) {
    Scenario w = one_server_scenario();
    w.traffic.group_load = 20;
    SimulatedServer server(w.kinds[0], w, 1);
    server.open(at(0), 1, 0, 1000, "g", seconds(1));
    server.open(at(0), 2, 0, 1000, "g", seconds(1));
    EXPECT_EQ(server.asked(), 22'000);
    server.close(at(0), 1);
    server.close(at(0), 2);
    EXPECT_EQ(server.asked(), 0);
}
