/// The rebalance cycle by the policy's clock, which balancers on one machine share: an active phase, then a
/// pause.
///
/// Surplus is migrated off in the active phase. In the pause nothing is: a client that comes back in it is
/// placed while the servers' loads stand still.
#pragma once
#include "base/time.h"

namespace headrouter::cycle_clock {

constexpr Duration active_time = seconds(6);
constexpr Duration pause_time = seconds(4);
constexpr Duration cycle_time = active_time + pause_time;
/// Of so many cycles a server's largest excess counts.
constexpr int cycles_remembered = 6;

constexpr TimePoint cycle_start(TimePoint now) { return {now.ns / cycle_time.ns * cycle_time.ns}; }
constexpr TimePoint next_cycle(TimePoint now) { return {(now.ns / cycle_time.ns + 1) * cycle_time.ns}; }
constexpr bool is_paused(TimePoint now) { return now.ns % cycle_time.ns >= active_time.ns; }

}  // namespace headrouter::cycle_clock
