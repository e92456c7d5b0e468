#include "policy/degraded_servers.h"

namespace headrouter {

void DegradedServers::mark(ServerIndex index) {
    ServerState& server = servers_[index];
    if (server.degraded_index) return;
    server.degraded_index = list_.size();  // its index in the next FleetView
    list_.push_back(index);
}

void DegradedServers::update(TimePoint now) {
    std::erase_if(list_, [&](ServerIndex index) {
        ServerState& server = servers_[index];
        const bool has_recovered = is_healthy(now, server);
        if (has_recovered) server.degraded_index.reset();
        return has_recovered;
    });
}

bool DegradedServers::is_healthy(TimePoint now, const ServerState& server) const {
    return server.outliers.is_healthy(now) && !warmup_.is_cold(now, server) &&
           !loads_.load_limit(now, server);
}

}  // namespace headrouter
