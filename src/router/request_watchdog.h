/// What becomes of requests that nothing else moves on.
#pragma once
#include <vector>

#include "base/time.h"
#include "router/router_context.h"

namespace headrouter {

/// Fails requests that have had no answer, ends migrations that wait for the end of a line for too long, and
/// retries the servers of adopted requests.
class RequestWatchdog {
   public:
    explicit RequestWatchdog(const RouterContext& context) : context_(context) {}

    /// To be called ten times a second.
    void check(TimePoint now);

   private:
    /// Each in ascending order.
    struct DueRequests {
        std::vector<RequestId> overdue;           ///< the policy has not answered them in time
        std::vector<RequestId> stuck_migrations;  ///< their servers stopped in the middle of a line
        std::vector<RequestId> adoption_retries;
    };

    DueRequests find_due(TimePoint now) const;
    void fail_overdue(RequestId, TimePoint now);
    void end_stuck_migration(RequestId);

    RouterContext context_;
};

}  // namespace headrouter
