#include "policy/server_health.h"

namespace headrouter {

void ServerHealth::begin_slow_start(TimePoint now, ServerIndex index, TimePoint started) {
    servers_[index].slow_start.begin(now, started);
    servers_[index].load_limit.clear();
    degraded_.mark(index);
}

void ServerHealth::record_failure(TimePoint now, ServerIndex index, double penalty) {
    degraded_.mark(index);
    servers_[index].outliers.on_failure(now, penalty);
}

void ServerHealth::record_reset(TimePoint now, ServerIndex index) {
    ServerState& server = servers_[index];
    degraded_.mark(index);
    const bool has_crashed = server.outliers.on_reset(now, server.connections.size());
    if (!has_crashed) {
        server.load_limit.on_reset(now, loads_.load_on(server), loads_.full_share(server));
        return;
    }
    server.slow_start.expect_restart();
    server.load_limit.clear();
}

void ServerHealth::record_established(TimePoint now, ServerIndex index) {
    ServerState& server = servers_[index];
    --server.pending_attempts;
    if (server.slow_start.is_restart_expected()) begin_slow_start(now, index, now);
    server.established_at = now;
    server.outliers.on_established(now);
}

LoadLimit::Surplus ServerHealth::record_latency(TimePoint now, ServerIndex index, double latency_seconds,
                                                Duration objective, Pcg32& random) {
    ServerState& server = servers_[index];
    const LoadLimit::Usage usage{loads_.load_on(server), server.connections.size(),
                                 loads_.full_share(server)};
    degraded_.mark(index);
    return server.load_limit.on_latency_report(now, latency_seconds, objective, usage, random);
}

}  // namespace headrouter
