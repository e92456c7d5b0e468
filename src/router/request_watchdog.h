/// Handles requests for which an expected event did not arrive in time.
#pragma once
#include <vector>

#include "base/time.h"
#include "router/router_context.h"

namespace headrouter {

/// Fails requests that were not answered in time, ends migrations that have waited too long for the end of a
/// line, and retries the servers of adopted requests.
class RequestWatchdog {
   public:
    explicit RequestWatchdog(const RouterContext& context) : context_(context) {}

    /// Must be called ten times a second.
    void check(TimePoint now);

   private:
    /// Ids of the requests to handle, each list in ascending order.
    struct DueRequests {
        std::vector<RequestId> overdue;           ///< not answered by the policy in time
        std::vector<RequestId> stuck_migrations;  ///< the server stopped in the middle of a line
        std::vector<RequestId> adoption_retries;  ///< adopted; the next connection attempt is due
    };

    DueRequests find_due(TimePoint now) const;
    void fail_overdue(RequestId, TimePoint now);
    void end_stuck_migration(RequestId);

    RouterContext context_;
};

}  // namespace headrouter
