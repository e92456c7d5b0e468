/// What the request router needs of the process around it.
#pragma once
#include <cstdint>
#include <functional>
#include <optional>

#include "admin/counters.h"
#include "base/time.h"

namespace headrouter {

/// Calls into the process, all on the thread of the event loop.
struct RouterEnvironment {
    std::function<TimePoint()> now;

    /// Has `RequestRouter::on_timer(token)` called at that time.
    std::function<void(TimePoint, uint64_t token)> set_timer;

    /// Makes room for one request more. Where there is none, the counter of what the process is short of.
    std::function<std::optional<Counter>()> find_shortage;

    /// Whether other balancers may know newer endpoints for so long already that these must not be used any
    /// more.
    std::function<bool()> is_endpoint_list_outdated = [] { return false; };
};

}  // namespace headrouter
