#include "policy/fair_shares.h"

#include <algorithm>

#include "policy/retry_policy.h"

namespace headrouter {

DedupScope FairShares::dedup_scope(const RequestState& request) const {
    if (!request.may_have_run) return DedupScope::all;
    return retry_policy::second_run_scope(config_.request_classes[request.type]);
}

bool FairShares::is_in_dedup_scope(const RequestState& request, const ServerState& server) const {
    const DedupScope scope = dedup_scope(request);
    if (scope == DedupScope::all) return true;
    const Endpoint& first = servers_[request.attempts[*request.may_have_run].server].endpoint;
    return retry_policy::is_in_scope(scope, first, server.endpoint);
}

FleetView FairShares::view(TimePoint now, const RequestState* request) {
    servers_.update_degraded(now);
    FleetView fleet = view_in_mode(now, request, false);
    if (fleet.open_servers <= 0 && request) fleet = view_in_mode(now, request, true);
    count_slow(fleet, request);
    return fleet;
}

FleetView FairShares::view_in_mode(TimePoint now, const RequestState* request, bool panic_mode) {
    FleetView fleet;
    fleet.total_load = servers_.total_load() + (request ? servers_.load_of(*request) : 0);
    if (request && !request->attempts.empty() && !panic_mode)
        fleet.excluded_server = request->attempts.back().server;
    double weights = servers_.active_weight();
    fleet.open_servers = servers_.active_count();
    const auto leave_out = [&](const ServerState& server) {
        weights -= server.weight;
        --fleet.open_servers;
    };
    const auto is_candidate = [&](ServerIndex index) {
        const ServerState& server = servers_[index];
        return server.endpoint.state == EndpointState::active && index != fleet.excluded_server &&
               (!request || is_in_dedup_scope(*request, server));
    };
    if (fleet.excluded_server && servers_[*fleet.excluded_server].endpoint.state == EndpointState::active)
        leave_out(servers_[*fleet.excluded_server]);
    if (request && dedup_scope(*request) != DedupScope::all)
        for (const ServerIndex index : servers_.indexes())
            if (servers_[index].endpoint.state == EndpointState::active && index != fleet.excluded_server &&
                !is_in_dedup_scope(*request, servers_[index]))
                leave_out(servers_[index]);
    for (const ServerIndex index : servers_.degraded()) {
        servers_[index].degraded_index = fleet.degraded.size();
        const bool candidate = is_candidate(index);
        if (candidate) leave_out(servers_[index]);
        fleet.degraded.push_back(view_degraded(now, index, request, candidate, panic_mode));
        weights += fleet.degraded.back().share;
        fleet.open_servers += fleet.degraded.back().is_open;
    }
    distribute(fleet, weights);
    return fleet;
}

FleetView::DegradedServer FairShares::view_degraded(TimePoint now, ServerIndex index,
                                                    const RequestState* request, bool is_candidate,
                                                    bool panic_mode) {
    ServerState& server = servers_[index];
    const bool is_counted = is_candidate && (panic_mode || ServerTable::is_selectable(now, server));
    const bool is_open =
        is_counted && (!request || servers_.has_warmup_permit(now, server, servers_.load_of(*request)));
    double weight = 0;
    if (is_counted)
        weight = server.weight * servers_.slow_start_factor(now, server) * server.outliers.trust(now);
    const std::optional<double> limit = servers_.rounded_load_limit(now, server);
    return {index, servers_.load_on(server), weight, limit, is_counted, is_open};
}

void FairShares::distribute(FleetView& fleet, double weights) {
    std::vector<FleetView::DegradedServer*> unlimited;
    for (FleetView::DegradedServer& server : fleet.degraded) unlimited.push_back(&server);
    double total = fleet.total_load;
    for (bool is_capped = true; is_capped;) {
        is_capped = false;
        fleet.share_per_weight = weights > 1e-9 ? std::max(0.0, total) / weights : 0;
        std::erase_if(unlimited, [&](FleetView::DegradedServer* server) {
            const std::optional<double>& limit = server->load_limit;
            if (!limit || server->share * fleet.share_per_weight <= *limit) return false;
            weights -= server->share;
            total -= *limit;
            server->share = *limit;
            is_capped = true;
            return true;
        });
    }
    for (FleetView::DegradedServer* server : unlimited) server->share *= fleet.share_per_weight;
}

void FairShares::count_slow(FleetView& fleet, const RequestState* request) const {
    const double added = request ? servers_.load_of(*request) : 0;
    double heard = servers_.servers_in_use() + least_heard;
    for (const FleetView::DegradedServer& server : fleet.degraded) {
        const ServerState& state = servers_[server.server];
        const bool is_over = server.load_limit && server.load + added > *server.load_limit;
        fleet.slow_servers += server.is_open && !state.load_limit.is_mild() && is_over;
        heard += server.load_limit && state.connections.empty();
    }
    fleet.slow_part = fleet.slow_servers / heard;
    fleet.is_mostly_slow =
        fleet.slow_servers >= fewest_mostly_slow && fleet.slow_part > least_part_mostly_slow;
}

}  // namespace headrouter
