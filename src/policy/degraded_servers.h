/// The servers that differ from sound ones.
#pragma once
#include <utility>
#include <vector>

#include "policy/server_loads.h"
#include "policy/warmup_admission.h"

namespace headrouter {

/// The servers that are failing, cold or have a load limit. Only these need a look of their own in each view
/// of the fleet (FairShares); what the others get follows from sums.
class DegradedServers {
   public:
    /// In the order in which they were marked.
    using State = std::vector<ServerIndex>;

    [[nodiscard]] const State& state() const { return list_; }
    void restore(State state) { list_ = std::move(state); }

    /// All must outlive it.
    DegradedServers(ServerTable& servers, const ServerLoads& loads, const WarmupAdmission& warmup)
        : servers_(servers), loads_(loads), warmup_(warmup) {}

    /// From now on the server needs a look of its own.
    void mark(ServerIndex);
    /// Forgets those that have recovered.
    void update(TimePoint now);
    /// In the order in which they were marked.
    const std::vector<ServerIndex>& list() const { return list_; }

   private:
    bool is_sound(TimePoint now, const ServerState&) const;

    ServerTable& servers_;
    const ServerLoads& loads_;
    const WarmupAdmission& warmup_;
    State list_;
};

}  // namespace headrouter
