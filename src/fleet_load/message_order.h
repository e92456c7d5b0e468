/// How balancers that pool their loads tell new messages from old ones.
#pragma once
#include <cstdint>

#include "base/time.h"

namespace headrouter::fleet_load {

/// How often headroom is sent. Half of it is its age on average, which bounds how even the fleet can be
/// (docs/fleet-load.md has the curve); each message costs its bytes at every balancer.
constexpr Duration round_time = millis(1750);

/// What another balancer said longer ago no longer counts.
constexpr Duration forget_after = seconds(16);

/// Timestamps are the sender's wall clock in ticks, modulo gossip::timestamp_modulus.
uint32_t ticks_between(uint32_t earlier, uint32_t later);

/// Whether a message is newer than the last one of its sender, which came at `last_at`. Late, doubled and
/// reordered ones are not; after a long gap any is.
bool is_newer(uint32_t timestamp, uint32_t last_timestamp, TimePoint now, TimePoint last_at);

}  // namespace headrouter::fleet_load
