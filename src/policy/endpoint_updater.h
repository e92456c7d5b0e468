/// What an endpoint update changes in the policy.
#pragma once
#include <vector>

#include "policy/connection_tracker.h"
#include "policy/gossip_coordinator.h"
#include "policy/request_state.h"
#include "policy/server_health.h"
#include "policy/server_table.h"
#include "policy/warmup_admission.h"

namespace headrouter {

/// Takes over endpoint lists: new and restarted servers begin slow start, and those that a whole list does
/// not name are removed.
class EndpointUpdater {
   public:
    /// All must outlive it.
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

    /// One update, `is_whole_list` unless it is a delta.
    void apply_update(TimePoint now, const std::vector<Endpoint>&, bool is_whole_list);
    /// One endpoint. Returns the server's index.
    ServerIndex apply(TimePoint now, const Endpoint&);

   private:
    /// Forgets what was known of the server's last process, and migrates the connections that were at it.
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
