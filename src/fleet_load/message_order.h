/// Orders the load pooling messages of a sender by timestamp, to ignore old ones.
#pragma once
#include <cstdint>

#include "base/time.h"

namespace headrouter::fleet_load {

/// Interval between headroom messages. Headroom is on average half an interval old, and this age limits how
/// even the fleet can be (docs/fleet-load.md has the curve); each message costs its bytes at every balancer.
constexpr Duration round_time = millis(1750);

/// Age beyond which messages of other balancers no longer count.
constexpr Duration message_lifetime = seconds(16);

/// Returns the ticks from one timestamp to another. Timestamps are the sender's wall clock in ticks, modulo
/// gossip::timestamp_modulus.
uint32_t ticks_between(uint32_t earlier, uint32_t later);

/// Returns whether a message is newer than its sender's last one, which arrived at `last_at`. Late,
/// duplicated and reordered messages are not newer; after a gap longer than `message_lifetime`, any message
/// is.
bool is_newer(uint32_t timestamp, uint32_t last_timestamp, TimePoint now, TimePoint last_at);

}  // namespace headrouter::fleet_load
