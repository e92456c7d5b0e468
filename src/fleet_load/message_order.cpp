#include "fleet_load/message_order.h"

#include "gossip/gossip_message.h"

namespace headrouter::fleet_load {

uint32_t ticks_between(uint32_t earlier, uint32_t later) {
    return (later - earlier) % gossip::timestamp_modulus;
}

bool is_newer(uint32_t timestamp, uint32_t last_timestamp, TimePoint now, TimePoint last_at) {
    const uint32_t ahead = ticks_between(last_timestamp, timestamp);
    return now - last_at > message_lifetime || (ahead > 0 && ahead < gossip::timestamp_modulus / 2);
}

}  // namespace headrouter::fleet_load
