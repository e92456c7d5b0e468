/// Adopts requests that were established before this process started. Their clients reconnect and name the
/// server in the field `at` of the request line, so the policy has nothing to decide: the balancer connects
/// to that server repeatedly until it answers or a time limit is reached.
#pragma once
#include "base/time.h"
#include "discovery/endpoint_table.h"
#include "router/active_requests.h"
#include "upstream/upstream_interface.h"

namespace headrouter {

/// Connects adopted requests to their servers and sets the time limit for it.
class RequestAdopter {
   public:
    /// `started_at` is the start time of the process.
    RequestAdopter(const EndpointTable& endpoints, UpstreamInterface& upstream, TimePoint started_at)
        : endpoints_(endpoints), upstream_(upstream), started_at_(started_at) {}

    /// Returns how long to retry for a client that connects at `now`.
    Duration time_limit(TimePoint now) const;

    /// Connects to the server of an adopted request, or schedules a retry where its address is not known yet.
    void connect(RequestId, ActiveRequest&, TimePoint now);

    /// Sets the time of the next connection attempt to the server.
    static void schedule_retry(ActiveRequest&, TimePoint now);
    static bool is_retry_due(const ActiveRequest&, TimePoint now);

    /// Returns the start time of the process. After a hot restart, this is the previous process's start time.
    TimePoint started_at() const { return started_at_; }
    void set_started_at(TimePoint started_at) { started_at_ = started_at; }

   private:
    const EndpointTable& endpoints_;
    UpstreamInterface& upstream_;
    TimePoint started_at_;
};

}  // namespace headrouter
