/// Updates the health state of servers on events.
#pragma once
#include "base/pcg32.h"
#include "policy/degraded_servers.h"
#include "policy/load_limit.h"
#include "policy/server_loads.h"

namespace headrouter {

/// Passes each event to the affected components of its server (OutlierDetector, LoadLimit, SlowStart) and
/// marks the server as degraded where needed. Has no state of its own.
class ServerHealth {
   public:
    /// The arguments must outlive this object.
    ServerHealth(ServerTable& servers, const ServerLoads& loads, DegradedServers& degraded)
        : servers_(servers), loads_(loads), degraded_(degraded) {}

    /// Begins the slow start of a server whose process started at `started`.
    void begin_slow_start(TimePoint now, ServerIndex, TimePoint started);
    /// Records the failure of an attempt that was not established; for `penalty` see
    /// OutlierDetector::on_failure.
    void record_failure(TimePoint now, ServerIndex, double penalty);
    /// Records the reset of an established connection.
    void record_reset(TimePoint now, ServerIndex);
    /// Records that a pending attempt was established. If the server had reset all its connections before, it
    /// now runs a new process and begins its slow start, before the endpoint list reports the restart.
    void record_established(TimePoint now, ServerIndex);
    /// Records the latest message latency of the server. Returns the surplus to migrate off.
    LoadLimit::Surplus record_latency(TimePoint now, ServerIndex, double latency_seconds, Duration objective,
                                      Pcg32&);

   private:
    ServerTable& servers_;
    const ServerLoads& loads_;
    DegradedServers& degraded_;
};

}  // namespace headrouter
