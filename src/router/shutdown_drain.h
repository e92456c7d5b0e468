/// How the requests of a process that shuts down end.
#pragma once
#include "base/time.h"
#include "router/router_context.h"
#include "router/shutdown_schedule.h"

namespace headrouter {

/// Migrates established requests at the pace of the schedule. At its end, requests that are not established
/// are answered as they are.
class ShutdownDrain {
   public:
    ShutdownDrain(const RouterContext& context, const ShutdownSchedule& schedule)
        : context_(context), schedule_(schedule) {}

    /// To be called ten times a second while the schedule drains.
    void step(TimePoint now);

   private:
    void end_unestablished(RequestId, TimePoint now);

    RouterContext context_;
    const ShutdownSchedule& schedule_;
};

}  // namespace headrouter
