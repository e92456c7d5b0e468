/// Computes the phase of the rebalance cycle from the policy's clock, which balancers on one machine share:
/// an active phase, then a pause.
///
/// Surplus is migrated off in the active phase. Nothing is migrated in the pause, so a client that reconnects
/// in the pause is placed while migrations do not change the servers' loads.
#pragma once
#include "base/time.h"

namespace headrouter::cycle_clock {

constexpr Duration active_time = seconds(6);
constexpr Duration pause_time = seconds(4);
constexpr Duration cycle_time = active_time + pause_time;
/// Number of recent cycles over which a server's largest excess is kept.
constexpr int cycles_remembered = 6;

constexpr TimePoint cycle_start(TimePoint now) { return {now.ns / cycle_time.ns * cycle_time.ns}; }
constexpr TimePoint next_cycle(TimePoint now) { return {(now.ns / cycle_time.ns + 1) * cycle_time.ns}; }
constexpr bool is_paused(TimePoint now) { return now.ns % cycle_time.ns >= active_time.ns; }

}  // namespace headrouter::cycle_clock
