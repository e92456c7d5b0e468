/// \file
/// The state of a balancer as plain data, and its serialization to bytes.
///
/// The fields below are in the order in which the state serializes them. state_version.h says what
/// to do when that order changes.
#pragma once
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "discovery/endpoint_staleness.h"
#include "downstream/downstream.h"
#include "router/request_router.h"
#include "upstream/upstream.h"

namespace headrouter::hot_restart {

/// A pending timer of the policy: its due time and its token.
using PolicyTimer = std::pair<TimePoint, uint64_t>;

/// Holds everything that the next process needs apart from the file descriptors.
struct BalancerState {
    RequestRouter::State router;
    Downstream::State downstream;
    Upstream::State upstream;
    std::vector<PolicyTimer> timers;  ///< in ascending order of due time
    int64_t list_version = 0;         ///< as in Components, like the next two fields
    std::string list_source;
    EndpointStaleness::State list_staleness;

    /// Returns the number of descriptors that belong to the state: one for each client and each attempt.
    [[nodiscard]] size_t connection_count() const {
        return downstream.clients.size() + upstream.attempts.size();
    }
};

/// Returns the serialized state.
[[nodiscard]] std::string encode(BalancerState state);

/// Parses the bytes that encode() returned. Throws ParseError if the bytes are truncated or malformed, or if
/// their parts contradict each other. The policy's state, which is itself an array of bytes, is not checked.
[[nodiscard]] BalancerState decode(std::string_view bytes);

}  // namespace headrouter::hot_restart
