/// Ends requests that the balancer itself answers.
#pragma once
#include <string_view>

#include "admin/counters.h"
#include "admin/log.h"
#include "admin/metrics.h"
#include "downstream/downstream_interface.h"
#include "router/active_requests.h"
#include "upstream/upstream_interface.h"

namespace headrouter {

/// Sends a request's last line to its client, removes the request, and counts how it ended.
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

    /// Answers a request that is not established with BUSY.
    void reject(RequestId, std::string_view busy_line);

    /// Answers a request that is not established with ERR.
    void fail(RequestId);

    /// Tells the client of an established request to move, between two lines of its server: where a line has
    /// begun, the request is marked, and `migrate` is to be called again after its end.
    void migrate(RequestId, TimePoint now);

    /// Adds to the metrics how a request came up or failed to. Adopted ones were counted by an earlier
    /// process.
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
