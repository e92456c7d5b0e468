/// Ends requests that the balancer answers itself.
#pragma once
#include <string_view>

#include "admin/counters.h"
#include "admin/log.h"
#include "admin/metrics.h"
#include "downstream/downstream_interface.h"
#include "router/active_requests.h"
#include "upstream/upstream_interface.h"

namespace headrouter {

/// Sends the final reply of a request to its client, removes the request, and counts how it ended.
class RequestCompletion {
   public:
    RequestCompletion(ActiveRequests& active_requests, DownstreamInterface& downstream,
                      UpstreamInterface& upstream, admin::SetupCounters& setup_counters, Counters& counters,
                      Log& log)
        : active_requests_(active_requests),
          downstream_(downstream),
          upstream_(upstream),
          setup_counters_(setup_counters),
          counters_(counters),
          log_(log) {}

    /// Answers a request that is not established with `busy_line`.
    void reject(RequestId, std::string_view busy_line);

    /// Answers a request that is not established with ERR.
    void fail(RequestId);

    /// Sends MOVE to the client of an established request. MOVE must not interrupt a line from the server: if
    /// such a line is incomplete, only marks the migration as pending, and the caller must call `migrate`
    /// again when the line has ended.
    void migrate(RequestId, TimePoint now);

    /// Adds the outcome of the request's setup to the metrics. Adopted requests are skipped, because an
    /// earlier process counted them.
    void record_setup(const ActiveRequest&, admin::SetupOutcome);

   private:
    void reply(RequestId, std::string_view line, Counter counter, admin::SetupOutcome);

    ActiveRequests& active_requests_;
    DownstreamInterface& downstream_;
    UpstreamInterface& upstream_;
    admin::SetupCounters& setup_counters_;
    Counters& counters_;
    Log& log_;
};

}  // namespace headrouter
