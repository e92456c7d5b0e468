/// Ends the requests of a process that shuts down gracefully.
#pragma once
#include "base/time.h"
#include "router/router_context.h"
#include "router/shutdown_schedule.h"

namespace headrouter {

/// Migrates established requests at the pace of the schedule. At the end of the schedule, answers requests
/// that are not established: with BUSY if the client may retry, otherwise with ERR.
class ShutdownDrain {
   public:
    ShutdownDrain(const RouterContext& context, const ShutdownSchedule& schedule)
        : context_(context), schedule_(schedule) {}

    /// Must be called ten times a second while the schedule is draining.
    void step(TimePoint now);

   private:
    void end_unestablished(RequestId, TimePoint now);

    RouterContext context_;
    const ShutdownSchedule& schedule_;
};

}  // namespace headrouter
