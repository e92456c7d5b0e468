/// What an endpoint update changes in the policy.
#pragma once
#include <vector>

#include "policy/connection_tracker.h"
#include "policy/gossip_coordinator.h"
#include "policy/request_state.h"
#include "policy/server_table.h"

namespace headrouter {

/// Takes over endpoint lists: new and restarted servers begin slow start, and those that a whole list does
/// not name are removed.
class EndpointUpdater {
   public:
    /// All must outlive it.
    struct Parts {
        ServerTable& servers;
        GossipCoordinator& gossip;
        ConnectionTracker& connections;
        RequestTable& requests;
    };
    explicit EndpointUpdater(const Parts& parts)
        : servers_(parts.servers),
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

    ServerTable& servers_;
    GossipCoordinator& gossip_;
    ConnectionTracker& connections_;
    RequestTable& requests_;
};

}  // namespace headrouter
