/// Encodes and decodes the tokens of the policy's timers.
#pragma once
#include <cstddef>
#include <cstdint>

#include "base/server_index.h"

namespace headrouter {

/// Purpose of a timer, in the lowest byte of its token.
enum class TimerKind : uint64_t {
    cycle_begins = 1,
    plan_migrations = 2,
    migrate_next = 3,  ///< migrates from the server whose index is in the token's other bytes
    retry_queued = 4,
    retry_watch = 5,
    gossip_round = 6,
    gossip_sum = 7,
    publish_locations = 8,
    publish_headroom = 9
};

constexpr int timer_kind_bits = 8;

constexpr uint64_t timer_token(TimerKind kind, ServerIndex server = {}) {
    return static_cast<uint64_t>(kind) | static_cast<uint64_t>(server.value()) << timer_kind_bits;
}
constexpr TimerKind kind_of_timer(uint64_t token) {
    return static_cast<TimerKind>(token & ((1U << timer_kind_bits) - 1));
}
constexpr ServerIndex server_of_timer(uint64_t token) {
    return ServerIndex{static_cast<size_t>(token >> timer_kind_bits)};
}

}  // namespace headrouter
