/// Functions of the process that the request router calls.
#pragma once
#include <cstdint>
#include <functional>
#include <optional>

#include "admin/counters.h"
#include "base/time.h"

namespace headrouter {

/// Callbacks into the process, all called on the event loop's thread.
struct RouterEnvironment {
    /// Returns the current time of the steady clock.
    std::function<TimePoint()> now;

    /// Schedules a call of `RequestRouter::on_timer(token)` at the given time.
    std::function<void(TimePoint, uint64_t token)> set_timer;

    /// Closes idle connections if necessary to make room for one more request. Returns nothing if there is
    /// room, otherwise the counter of the resource that is short (descriptors or memory).
    std::function<std::optional<Counter>()> find_shortage;

    /// Returns whether other balancers may have had a newer endpoint list for so long that this balancer must
    /// not use its own any more.
    std::function<bool()> is_endpoint_list_outdated = [] { return false; };
};

}  // namespace headrouter
