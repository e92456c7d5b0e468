/// Unit tests of the parts that Balancer composes.
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

std::string reload_error(const BootstrapConfig& running, const BootstrapConfig& next) {
    try {
        check_reload(running, next);
        return "";
    } catch (const ConfigError& error) {
        return error.what();
    }
}

}  // namespace

TEST(TimerService, FiresDueTimersInOrderAndNoneBeforeStart) {
    const OwnedLoop loop(ev_loop_new(EVFLAG_AUTO));
    std::vector<uint64_t> fired;
    TimerService timers(loop.get(), [&](uint64_t token) { fired.push_back(token); });
    const TimePoint now = Clock::now();
    timers.set(now + seconds(1000), 3);
    timers.set(now - millis(1), 2);
    timers.set(now - millis(2), 1);
    ev_run(loop.get(), EVRUN_NOWAIT);
    EXPECT_TRUE(fired.empty());
    timers.start();
    ev_run(loop.get(), EVRUN_ONCE);
    EXPECT_EQ(fired, (std::vector<uint64_t>{1, 2}));
    EXPECT_EQ(timers.pending().size(), 1u);
    timers.set(now, 4);
    ev_run(loop.get(), EVRUN_ONCE);
    EXPECT_EQ(fired, (std::vector<uint64_t>{1, 2, 4}));
}

TEST(TimerService, TimerSetByACallbackFiresInALaterTurn) {
    const OwnedLoop loop(ev_loop_new(EVFLAG_AUTO));
    int fire_count = 0;
    TimerService* timers_in_callback = nullptr;
    TimerService timers(loop.get(), [&](uint64_t) {
        ++fire_count;
        if (fire_count == 1) timers_in_callback->set(Clock::now(), 2);
    });
    timers_in_callback = &timers;
    timers.set(Clock::now(), 1);
    timers.start();
    ev_run(loop.get(), EVRUN_ONCE);
    EXPECT_EQ(fire_count, 1);
    ev_run(loop.get(), EVRUN_ONCE);
    EXPECT_EQ(fire_count, 2);
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

TEST(ConfigReload, ErrorNamesTheSettingThatConflictsWithTheRunningConfiguration) {
    const BootstrapConfig running = usable_config();
    EXPECT_EQ(reload_error(running, running), "");
    BootstrapConfig next = running;
    next.discovery = "nowhere";
    EXPECT_NE(reload_error(running, next).find("'nowhere'"), std::string::npos);
    BootstrapConfig with_gossip = running;
    with_gossip.gossip_addresses = {"127.0.0.1:3", "127.0.0.1:4"};
    next = running;
    next.gossip_without_peers = true;
    EXPECT_EQ(reload_error(running, next), "");
    EXPECT_NE(reload_error(with_gossip, next).find("'peers' is missing"), std::string::npos);
    next = with_gossip;
    next.cluster.policy.replica_index = 1;
    EXPECT_NE(reload_error(with_gossip, next).find("'slotNo'"), std::string::npos);
}

TEST(ConfigReload, KeepsNameListenAddressAndAdminAddress) {
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
