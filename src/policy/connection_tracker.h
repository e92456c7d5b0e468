/// Tracks which server each request's connection is at.
#pragma once
#include "affinity/group_table.h"
#include "policy/policy_actions.h"
#include "policy/request_state.h"
#include "policy/server_loads.h"

namespace headrouter {

/// Keeps the three records of a connection consistent: those of its request, its server and its affinity
/// group. A connection is counted from the start of its attempt to the attempt's end.
class ConnectionTracker {
   public:
    /// Dependencies, which must outlive the tracker.
    struct Parts {
        ServerLoads& loads;
        GroupTable& groups;
        RequestTable& requests;
        PolicyActions& actions;
    };
    explicit ConnectionTracker(const Parts& parts)
        : loads_(parts.loads), groups_(parts.groups), requests_(parts.requests), actions_(parts.actions) {}

    /// Adds the connection of the request's last attempt, which is at `server`.
    void add(ServerIndex server, RequestState&);
    /// Removes the request's connection. No effect if the request has none.
    void remove(RequestState&);
    /// Migrates the request's connection: its client will reconnect, and the request is removed.
    void migrate(RequestState&);

   private:
    ServerLoads& loads_;
    GroupTable& groups_;
    RequestTable& requests_;
    PolicyActions& actions_;
};

}  // namespace headrouter
