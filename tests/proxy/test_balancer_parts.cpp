/// The parts that Balancer composes, each alone.
#include <gtest/gtest.h>

#include <vector>

#include "proxy/config_reload.h"
#include "proxy/resource_limits.h"
#include "proxy/timer_service.h"
#include "transport/clock.h"
#include "transport/event_watcher.h"
#include "transport/socket.h"

using namespace headrouter;

namespace {

struct LoopDeleter {
    void operator()(struct ev_loop* loop) const { ev_loop_destroy(loop); }
};
using OwnedLoop = std::unique_ptr<struct ev_loop, LoopDeleter>;

BootstrapConfig usable_config() {
    BootstrapConfig config;
    config.name = "n";
    config.listen = "127.0.0.1:1";
    config.discovery = "127.0.0.1:2";
    return config;
}

std::string refusal(const BootstrapConfig& running, const BootstrapConfig& next) {
    try {
        check_reload(running, next);
        return "";
    } catch (const ConfigError& error) {
        return error.what();
    }
}

}  // namespace

TEST(TimerService, FiresDueTimersInOrderAndNoneBeforeItsStart) {
    const OwnedLoop loop(ev_loop_new(EVFLAG_AUTO));
    std::vector<uint64_t> run;
    TimerService timers(loop.get(), [&](uint64_t token) { run.push_back(token); });
    const TimePoint now = Clock::now();
    timers.set(now + seconds(1000), 3);
    timers.set(now - millis(1), 2);
    timers.set(now - millis(2), 1);
    ev_run(loop.get(), EVRUN_NOWAIT);
    EXPECT_TRUE(run.empty());
    timers.start();
    ev_run(loop.get(), EVRUN_ONCE);
    EXPECT_EQ(run, (std::vector<uint64_t>{1, 2}));
    EXPECT_EQ(timers.pending().size(), 1u);
    timers.set(now, 4);
    ev_run(loop.get(), EVRUN_ONCE);
    EXPECT_EQ(run, (std::vector<uint64_t>{1, 2, 4}));
}

TEST(TimerService, ATimerSetByACallbackFiresInALaterTurn) {
    const OwnedLoop loop(ev_loop_new(EVFLAG_AUTO));
    int runs = 0;
    TimerService* self = nullptr;
    TimerService timers(loop.get(), [&](uint64_t) {
        ++runs;
        if (runs == 1) self->set(Clock::now(), 2);
    });
    self = &timers;
    timers.set(Clock::now(), 1);
    timers.start();
    ev_run(loop.get(), EVRUN_ONCE);
    EXPECT_EQ(runs, 1);
    ev_run(loop.get(), EVRUN_ONCE);
    EXPECT_EQ(runs, 2);
}

TEST(ResourceLimits, DescriptorsOfThePreviousProcessCountAgainstTheLimit) {
    BootstrapConfig config;
    const int needed = ResourceLimits::descriptors_per_request + ResourceLimits::reserved_descriptors;
    config.max_descriptors = FileDescriptor::open_count() + needed + 1;
    ResourceLimits limits(config);
    EXPECT_FALSE(limits.shortage());
    limits.set_held_by_previous_process(1);
    EXPECT_FALSE(limits.shortage());
    limits.set_held_by_previous_process(2);
    EXPECT_EQ(limits.shortage(), Counter::refused_for_descriptors);
    EXPECT_EQ(limits.available_descriptors(), limits.descriptors() - 2);
    limits.set_held_by_previous_process(0);
    EXPECT_FALSE(limits.shortage());
}

TEST(ConfigReload, ConflictsWithTheRunningConfigurationAreNamed) {
    const BootstrapConfig running = usable_config();
    EXPECT_EQ(refusal(running, running), "");
    BootstrapConfig next = running;
    next.discovery = "nowhere";
    EXPECT_NE(refusal(running, next).find("'nowhere'"), std::string::npos);
    BootstrapConfig with_gossip = running;
    with_gossip.gossip_addresses = {"127.0.0.1:3", "127.0.0.1:4"};
    next = running;
    next.gossip_without_peers = true;
    EXPECT_EQ(refusal(running, next), "");
    EXPECT_NE(refusal(with_gossip, next).find("'peers' is missing"), std::string::npos);
    next = with_gossip;
    next.cluster.policy.replica_index = 1;
    EXPECT_NE(refusal(with_gossip, next).find("'slotNo'"), std::string::npos);
}

TEST(ConfigReload, KeepsTheNameAndTheAddresses) {
    const BootstrapConfig running = usable_config();
    BootstrapConfig next = running;
    next.max_descriptors = 7;
    EXPECT_FALSE(changes_fixed_settings(running, next));
    next.listen = "127.0.0.1:5";
    next.name = "m";
    next.admin = "127.0.0.1:6";
    EXPECT_TRUE(changes_fixed_settings(running, next));
    const BootstrapConfig applied = with_fixed_settings(running, next);
    EXPECT_EQ(applied.listen, running.listen);
    EXPECT_EQ(applied.name, running.name);
    EXPECT_EQ(applied.admin, running.admin);
    EXPECT_EQ(applied.max_descriptors, 7);
}
