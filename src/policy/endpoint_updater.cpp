#include "policy/endpoint_updater.h"

#include <algorithm>

#include "policy/subset_draw.h"

namespace headrouter {

void EndpointUpdater::apply_update(TimePoint now, const std::vector<Endpoint>& endpoints,
                                   bool is_whole_list) {
    servers_.begin_update();
    for (const Endpoint& endpoint : endpoints) apply(now, endpoint);
    servers_.end_update(is_whole_list);
    warmup_.on_endpoints(now);
    draw_subset(config_, servers_);
}

ServerIndex EndpointUpdater::apply(TimePoint now, const Endpoint& endpoint) {
    const ServerTable::Applied applied = servers_.apply(endpoint);
    if (applied.is_new) gossip_.add_server(endpoint.server, applied.server);
    const bool starts = applied.is_restarted || (applied.is_new && endpoint.launched);
    // A launch time ahead of this balancer's clock would keep the server cold until that time.
    if (starts) health_.begin_slow_start(now, applied.server, std::min(*endpoint.launched, now));
    if (applied.is_restarted) replace_process(applied.server);
    return applied.server;
}

void EndpointUpdater::replace_process(ServerIndex server) {
    ServerState& state = servers_[server];
    state.outliers.on_restart();
    state.drain.forget_excess();
    gossip_.forget_locations(server);
    const std::vector<RequestId> connections = state.connections;
    for (const RequestId id : connections) {
        RequestState& request = requests_.at(id);
        const Attempt& attempt = request.attempts.back();
        const bool was_at_old_process = attempt.established && attempt.sent < *state.slow_start.started();
        if (was_at_old_process) connections_.migrate(request);
    }
}

}  // namespace headrouter
