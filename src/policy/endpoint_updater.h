/// Applies endpoint updates to the policy.
#pragma once
#include <vector>

#include "policy/connection_tracker.h"
#include "policy/gossip_coordinator.h"
#include "policy/request_state.h"
#include "policy/server_health.h"
#include "policy/server_table.h"
#include "policy/warmup_admission.h"

namespace headrouter {

/// Applies endpoint lists and deltas: new and restarted servers begin slow start, and servers that are
/// missing from a whole list are removed.
class EndpointUpdater {
   public:
    /// Dependencies, which must outlive the updater.
    struct Parts {
        const PolicyConfig& config;
        ServerTable& servers;
        WarmupAdmission& warmup;
        ServerHealth& health;
        GossipCoordinator& gossip;
        ConnectionTracker& connections;
        RequestTable& requests;
    };
    explicit EndpointUpdater(const Parts& parts)
        : config_(parts.config),
          servers_(parts.servers),
          warmup_(parts.warmup),
          health_(parts.health),
          gossip_(parts.gossip),
          connections_(parts.connections),
          requests_(parts.requests) {}

    /// Applies one update. `is_whole_list`: false for a delta.
    void apply_update(TimePoint now, const std::vector<Endpoint>&, bool is_whole_list);
    /// Applies one endpoint. Returns the server's index.
    ServerIndex apply(TimePoint now, const Endpoint&);

   private:
    /// Clears the records of the server's previous process, and migrates the connections to that process.
    void replace_process(ServerIndex server);

    const PolicyConfig& config_;
    ServerTable& servers_;
    WarmupAdmission& warmup_;
    ServerHealth& health_;
    GossipCoordinator& gossip_;
    ConnectionTracker& connections_;
    RequestTable& requests_;
};

}  // namespace headrouter
