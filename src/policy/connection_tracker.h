/// Which server each request's connection is at.
#pragma once
#include "affinity/group_table.h"
#include "policy/policy_actions.h"
#include "policy/request_state.h"
#include "policy/server_loads.h"

namespace headrouter {

/// Keeps a connection's three places in step: its request's record, its server, its affinity group. A
/// connection is counted from the start of its attempt to its end.
class ConnectionTracker {
   public:
    /// All must outlive it.
    struct Parts {
        ServerLoads& loads;
        GroupTable& groups;
        RequestTable& requests;
        PolicyActions& actions;
    };
    explicit ConnectionTracker(const Parts& parts)
        : loads_(parts.loads), groups_(parts.groups), requests_(parts.requests), actions_(parts.actions) {}

    /// Counts the connection of the request's last attempt, which is at `server`.
    void add(ServerIndex server, RequestState&);
    /// Takes it away again. No effect where the request has none.
    void remove(RequestState&);
    /// Has the request's client come back, and forgets the request.
    void migrate(RequestState&);

   private:
    ServerLoads& loads_;
    GroupTable& groups_;
    RequestTable& requests_;
    PolicyActions& actions_;
};

}  // namespace headrouter
