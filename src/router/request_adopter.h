/// Takes back requests that were established before this process started. Their clients connect anew and name
/// the server (`at=` of the request line), so there is nothing for the policy to decide: that server is tried
/// until it is up or the time is over.
#pragma once
#include "base/time.h"
#include "discovery/endpoint_table.h"
#include "router/active_requests.h"
#include "upstream/upstream_interface.h"

namespace headrouter {

/// Connects adopted requests to their servers and says for how long.
class RequestAdopter {
   public:
    /// `started_at`: when the process did.
    RequestAdopter(const EndpointTable& endpoints, UpstreamInterface& upstream, TimePoint started_at)
        : endpoints_(endpoints), upstream_(upstream), started_at_(started_at) {}

    /// How long to try on for a client that comes at `now`.
    Duration time_limit(TimePoint now) const;

    /// Connects to the server of an adopted request, or schedules a retry where its address is not known yet.
    void connect(RequestId, ActiveRequest&, TimePoint now);

    static void schedule_retry(ActiveRequest&, TimePoint now);
    static bool is_retry_due(const ActiveRequest&, TimePoint now);

    /// When the process started; after a hot restart the previous one.
    TimePoint started_at() const { return started_at_; }
    void set_started_at(TimePoint started_at) { started_at_ = started_at; }

   private:
    const EndpointTable& endpoints_;
    UpstreamInterface& upstream_;
    TimePoint started_at_;
};

}  // namespace headrouter
