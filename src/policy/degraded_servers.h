/// Lists the servers that are failing, cold or have a load limit.
#pragma once
#include <utility>
#include <vector>

#include "policy/server_loads.h"
#include "policy/warmup_admission.h"

namespace headrouter {

/// Keeps the list of servers that are failing, cold or have a load limit. FairShares evaluates only these one
/// by one for each FleetView; the shares of all other servers follow from sums.
class DegradedServers {
   public:
    /// Degraded servers in the order in which they were marked.
    using State = std::vector<ServerIndex>;

    [[nodiscard]] const State& state() const { return list_; }
    void restore(State state) { list_ = std::move(state); }

    /// The arguments must outlive this object.
    DegradedServers(ServerTable& servers, const ServerLoads& loads, const WarmupAdmission& warmup)
        : servers_(servers), loads_(loads), warmup_(warmup) {}

    /// Adds the server to the list, unless it is listed already.
    void mark(ServerIndex);
    /// Removes the servers that have recovered.
    void update(TimePoint now);
    /// Returns the degraded servers in the order in which they were marked.
    const std::vector<ServerIndex>& list() const { return list_; }

   private:
    bool is_healthy(TimePoint now, const ServerState&) const;

    ServerTable& servers_;
    const ServerLoads& loads_;
    const WarmupAdmission& warmup_;
    State list_;
};

}  // namespace headrouter
