#include "lab_testbed/fake_clients.h"
#include "testbed/relay.h"

using namespace headrouter::testbed;

// Sets up a peer on either side of a relay.
struct Between : Loop {
    AddressBlock block{2};
    TimerQueue timers{loop};
    std::string far_at = block.host(0) + ":9000", near_at = block.host(1) + ":9000";
    std::vector<Peer> far;
    Acceptor acceptor{loop, far_at, [this](Fd fd) { far.emplace_back(std::move(fd)); }};
    Relay relay{timers, near_at, far_at};
    Peer near{near_at};
    Between() {
        EXPECT_TRUE(until([&] { return far.size() == 1; }));
    }
};

TEST(Relay, ForwardsBytesAndEndsInBothDirections) {
    Between b;
    b.near.write("hello\r\n");
    EXPECT_TRUE(b.until([&] { return b.far[0].has("hello\r\n"); }));
    b.far[0].write("back\r\n");
    EXPECT_TRUE(b.until([&] { return b.near.has("back\r\n"); }));
    shutdown(b.far[0].fd.get(), SHUT_WR);
    EXPECT_TRUE(b.until([&] { return b.near.over(); }));
    EXPECT_TRUE(b.near.ended);
    b.near.write("still\r\n");
    EXPECT_TRUE(b.until([&] { return b.far[0].has("still\r\n"); }));
}

TEST(Relay, DelayAppliesToEveryByte) {
    Between b;
    b.relay.set({millis(120)});
    const TimePoint sent = Clock::now();
    b.near.write("x\r\n");
    EXPECT_TRUE(b.until([&] { return b.far[0].has("x\r\n"); }));
    EXPECT_GE(Clock::now() - sent, millis(119));
}

TEST(Relay, StalledRelayPassesNothingUntilItHeals) {
    Between b;
    b.relay.set({Duration{}, true});
    b.near.write("held\r\n");
    b.turn(millis(60));
    EXPECT_FALSE(b.far[0].has("held"));
    EXPECT_EQ(b.relay.bytes_passed(), 0);
    b.relay.heal();
    EXPECT_TRUE(b.until([&] { return b.far[0].has("held\r\n"); }));
}

TEST(Relay, ThrottleLimitsBytesPerSecond) {
    Between b;
    Relay::Fault slow;
    slow.bytes_a_second = 20'000;
    b.relay.set(slow);
    const TimePoint sent = Clock::now();
    b.near.write(std::string(6000, 'x'));
    EXPECT_TRUE(b.until([&] { return b.far[0].read(), b.far[0].got.size() == 6000; }));
    EXPECT_GT(Clock::now() - sent, millis(200));
}

TEST(Relay, CutEndsConnectionInMiddleOfLine) {
    Between b;
    Relay::Fault cut;
    cut.cut_after = 3;
    b.relay.set(cut);
    b.far[0].write("UP 17\r\n");
    EXPECT_TRUE(b.until([&] { return b.near.over(); }));
    EXPECT_EQ(b.near.got, "UP ");
    EXPECT_TRUE(b.until([&] { return b.far[0].over(); }));
}

TEST(Relay, ResetReachesBothSides) {
    Between b;
    b.relay.reset_all();
    EXPECT_TRUE(b.until([&] { return b.near.over() && b.far[0].over(); }));
    EXPECT_TRUE(b.near.broke);
    EXPECT_TRUE(b.far[0].broke);
    EXPECT_EQ(b.relay.connections(), 0);
}

TEST(Relay, HalfOpenPathLosesBytesFromFarSide) {
    Between b;
    Relay::Fault half;
    half.half_open = true;
    b.relay.set(half);
    b.far[0].write("lost\r\n");
    b.near.write("heard\r\n");
    EXPECT_TRUE(b.until([&] { return b.far[0].has("heard\r\n"); }));
    EXPECT_FALSE(b.near.has("lost"));
    EXPECT_FALSE(b.near.over());
}

TEST(Relay, ScheduledFaultAppliesAtItsTime) {
    Between b;
    b.relay.at(b.timers.now() + millis(50), {Duration{}, true});
    b.relay.at(b.timers.now() + millis(150), {});
    b.turn(millis(70));
    b.near.write("x\r\n");
    const bool early = b.timers.now() < TimePoint{} + millis(140) && (b.turn(millis(1)), b.far[0].has("x"));
    EXPECT_FALSE(early);
    EXPECT_TRUE(b.until([&] { return b.far[0].has("x\r\n"); }));
}
