/// What events tell of the health of single servers.
#pragma once
#include "base/pcg32.h"
#include "policy/degraded_servers.h"
#include "policy/load_limit.h"
#include "policy/server_loads.h"

namespace headrouter {

/// Hands each event on to the parts of its server that learn from it (OutlierDetector, LoadLimit, SlowStart)
/// and marks the server as degraded where it is. Keeps nothing itself.
class ServerHealth {
   public:
    /// All must outlive it.
    ServerHealth(ServerTable& servers, const ServerLoads& loads, DegradedServers& degraded)
        : servers_(servers), loads_(loads), degraded_(degraded) {}

    /// The server's process started at `started`.
    void begin_slow_start(TimePoint now, ServerIndex, TimePoint started);
    /// An attempt that was not established has failed; `penalty` as of OutlierDetector::on_failure.
    void record_failure(TimePoint now, ServerIndex, double penalty);
    /// An established connection was broken.
    void record_reset(TimePoint now, ServerIndex);
    /// A pending attempt was established. A server that broke all it had and answers again is a new process,
    /// cold, before the list says so.
    void record_established(TimePoint now, ServerIndex);
    /// A message last took `latency_seconds` at the server. Returns what is to be migrated off.
    LoadLimit::Surplus record_latency(TimePoint now, ServerIndex, double latency_seconds, Duration objective,
                                      Pcg32&);

   private:
    ServerTable& servers_;
    const ServerLoads& loads_;
    DegradedServers& degraded_;
};

}  // namespace headrouter
