#include "policy/fair_shares.h"

#include <algorithm>

#include "policy/eligibility.h"
#include "policy/retry_policy.h"

namespace headrouter {

namespace {

/// A total weight of the counted servers below this is treated as zero.
constexpr double negligible_weight = 1e-9;

/// Added to the number of servers whose latency is known, so that one or two slow servers do not represent
/// the whole fleet.
constexpr double known_servers_offset = 1;
/// The fleet is mostly slow if at least this many servers are slow, and they are also more than this fraction
/// of the servers whose latency is known.
constexpr int min_mostly_slow_servers = 3;
constexpr double min_mostly_slow_fraction = 0.25;

/// Subtracts the server from the sums over all active servers.
void exclude(FleetView& fleet, const ServerState& server) {
    fleet.counted_weight -= server.weight;
    --fleet.open_servers;
}

}  // namespace

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
    degraded_.update(now);
    FleetView fleet = view_in_mode(now, request, false);
    if (fleet.open_servers <= 0 && request) fleet = view_in_mode(now, request, true);
    count_slow_servers(fleet, request);
    return fleet;
}

double FairShares::share(const FleetView& fleet, ServerIndex index) const {
    const ServerState& server = servers_[index];
    if (server.degraded_index) return fleet.degraded[*server.degraded_index].share;
    return fleet.share_per_weight * server.weight;
}

bool FairShares::may_take(const FleetView& fleet, const RequestState& request, ServerIndex index) const {
    const ServerState& server = servers_[index];
    if (server.degraded_index) return fleet.degraded[*server.degraded_index].is_open;
    return is_candidate(fleet, &request, index);
}

bool FairShares::is_candidate(const FleetView& fleet, const RequestState* request, ServerIndex index) const {
    const ServerState& server = servers_[index];
    return eligibility::takes_new_requests(server.endpoint.state) && index != fleet.excluded_server &&
           (!request || is_in_dedup_scope(*request, server));
}

FleetView FairShares::view_in_mode(TimePoint now, const RequestState* request, bool panic_mode) {
    FleetView fleet;
    fleet.total_load = loads_.total() + (request ? loads_.load_of(*request) : 0);
    if (request && !request->attempts.empty() && !panic_mode)
        fleet.excluded_server = request->attempts.back().server;
    fleet.counted_weight = servers_.active_weight();
    fleet.open_servers = servers_.active_count();
    exclude_non_candidates(fleet, request);
    for (const ServerIndex index : degraded_.list()) {
        servers_[index].degraded_index = fleet.degraded.size();
        const bool candidate = is_candidate(fleet, request, index);
        if (candidate) exclude(fleet, servers_[index]);
        const FleetView::DegradedServer server = view_degraded(now, index, request, candidate, panic_mode);
        fleet.counted_weight += server.weight;
        if (server.is_open) ++fleet.open_servers;
        fleet.degraded.push_back(server);
    }
    distribute(fleet);
    return fleet;
}

void FairShares::exclude_non_candidates(FleetView& fleet, const RequestState* request) const {
    const auto is_active = [&](ServerIndex index) {
        return eligibility::takes_new_requests(servers_[index].endpoint.state);
    };
    if (fleet.excluded_server && is_active(*fleet.excluded_server))
        exclude(fleet, servers_[*fleet.excluded_server]);
    const bool is_bound = request && dedup_scope(*request) != DedupScope::all;
    if (!is_bound) return;
    for (const ServerIndex index : servers_.indexes()) {
        if (!is_active(index) || index == fleet.excluded_server) continue;
        if (!is_in_dedup_scope(*request, servers_[index])) exclude(fleet, servers_[index]);
    }
}

FleetView::DegradedServer FairShares::view_degraded(TimePoint now, ServerIndex index,
                                                    const RequestState* request, bool is_candidate,
                                                    bool panic_mode) {
    ServerState& server = servers_[index];
    const bool is_counted = is_candidate && (panic_mode || eligibility::is_selectable(now, server));
    const bool is_open = is_counted && (!request || warmup_.admits(now, server, loads_.load_of(*request)));
    double weight = 0;
    if (is_counted)
        weight = server.weight * warmup_.slow_start_factor(now, server) * server.outliers.trust(now);
    return {.server = index,
            .load = loads_.load_on(server),
            .weight = weight,
            .share = 0,
            .load_limit = loads_.rounded_load_limit(now, server),
            .is_counted = is_counted,
            .is_open = is_open};
}

void FairShares::distribute(FleetView& fleet) {
    std::vector<FleetView::DegradedServer*> below_limit;
    for (FleetView::DegradedServer& server : fleet.degraded) below_limit.push_back(&server);
    double load = fleet.total_load;
    double weight = fleet.counted_weight;
    // Capping a server at its limit raises the shares of the others, which may then exceed their own limits.
    for (bool has_cut = true; has_cut;) {
        has_cut = false;
        fleet.share_per_weight = weight > negligible_weight ? std::max(0.0, load) / weight : 0;
        std::erase_if(below_limit, [&](FleetView::DegradedServer* server) {
            const std::optional<double>& limit = server->load_limit;
            if (!limit || server->weight * fleet.share_per_weight <= *limit) return false;
            weight -= server->weight;
            load -= *limit;
            server->share = *limit;
            has_cut = true;
            return true;
        });
    }
    for (FleetView::DegradedServer* server : below_limit)
        server->share = server->weight * fleet.share_per_weight;
}

void FairShares::count_slow_servers(FleetView& fleet, const RequestState* request) const {
    const double added = request ? loads_.load_of(*request) : 0;
    double known_servers = loads_.servers_in_use() + known_servers_offset;
    for (const FleetView::DegradedServer& server : fleet.degraded) {
        const ServerState& state = servers_[server.server];
        const bool is_over = server.load_limit && server.load + added > *server.load_limit;
        if (server.is_open && !state.load_limit.has_steady_low_latency() && is_over) ++fleet.slow_servers;
        // A server without connections of this balancer counts as known if it has a load limit, which comes
        // from an earlier latency report or reset.
        if (server.load_limit && state.connections.empty()) ++known_servers;
    }
    fleet.slow_fraction = fleet.slow_servers / known_servers;
    fleet.is_mostly_slow =
        fleet.slow_servers >= min_mostly_slow_servers && fleet.slow_fraction > min_mostly_slow_fraction;
}

}  // namespace headrouter
