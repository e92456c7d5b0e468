/// \file
/// The state of a balancer as plain data, and its form as bytes.
///
/// The order of the fields here is that of state version 1: state_version.h says what to do when it changes.
#pragma once
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "downstream/downstream.h"
#include "router/request_router.h"
#include "upstream/upstream.h"

namespace headrouter::hot_restart {

/// A timer of the policy: when it is due, and its token.
using PolicyTimer = std::pair<TimePoint, uint64_t>;

/// All that the next process needs beside the descriptors.
struct BalancerState {
    RequestRouter::State router;
    Downstream::State downstream;
    Upstream::State upstream;
    std::vector<PolicyTimer> timers;  ///< in the order in which they are due
    int64_t list_version = 0;         ///< as in Components
    std::string list_source;
    TimePoint list_good_until;

    /// How many descriptors belong to it: one for each client and each attempt.
    [[nodiscard]] size_t connection_count() const {
        return downstream.clients.size() + upstream.attempts.size();
    }
};

[[nodiscard]] std::string encode(BalancerState state);

/// What encode() made. Throws ParseError where the bytes are cut off or garbled, or their parts contradict
/// each other. The policy's state, which is bytes itself, is not looked at.
[[nodiscard]] BalancerState decode(std::string_view bytes);

}  // namespace headrouter::hot_restart
