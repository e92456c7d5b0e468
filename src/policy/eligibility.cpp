#include "policy/eligibility.h"

#include <algorithm>

namespace headrouter::eligibility {

bool is_selectable(TimePoint now, const ServerState& server) {
    return takes_new_requests(server.endpoint.state) &&
           server.outliers.allows_attempt(now, server.pending_attempts);
}

int count_unselectable(TimePoint now, const ServerTable& servers) {
    const auto is_listed_but_unselectable = [&](const ServerState& server) {
        return server.endpoint.state != EndpointState::removed && !is_selectable(now, server);
    };
    return static_cast<int>(
        std::count_if(servers.all().begin(), servers.all().end(), is_listed_but_unselectable));
}

}  // namespace headrouter::eligibility
