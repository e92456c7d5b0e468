#include "policy/server_table.h"

#include "base/hash.h"

namespace headrouter {

void ServerTable::configure() {
    draw_subset_order();
    loads_.resize(config_.request_classes.size());
}

ServerTable::Applied ServerTable::apply(const Endpoint& endpoint) {
    const auto [it, is_new] = index_.emplace(endpoint.server, ServerIndex{size()});
    if (is_new) servers_.emplace_back().id_hash = hash_of(endpoint.server);
    ServerState& server = (*this)[it->second];
    const std::optional<TimePoint>& known = server.endpoint.launched;
    const bool is_later = endpoint.launched && (!known || *endpoint.launched > *known);
    server.endpoint = endpoint;
    server.named_in_update = updates_;
    set_weight(server);
    return {it->second, is_new, !is_new && is_later};
}

void ServerTable::end_update(TimePoint now, bool is_whole_list) {
    active_weight_ = 0;
    active_listed_weight_ = 0;
    active_count_ = 0;
    double cold_weight = 0;
    for (ServerState& server : servers_) {
        if (is_whole_list && server.named_in_update != updates_)
            server.endpoint.state = EndpointState::removed;
        if (server.endpoint.state != EndpointState::active) continue;
        active_weight_ += server.weight;
        active_listed_weight_ += listed_weight(server);
        ++active_count_;
        if (is_cold(now, server)) cold_weight += listed_weight(server);
    }
    const bool is_first = updates_ <= 1;  // nothing is known then of a fleet that the cold ones replace
    warm_weight_ = std::max(warm_weight_, active_listed_weight_ - (is_first ? 0 : cold_weight));
    draw_subset_order();
}

void ServerTable::update_warm_weight() {
    warm_weight_ = std::clamp(active_listed_weight_, warm_weight_ * weight_kept_per_cycle,
                              warm_weight_ / weight_kept_per_cycle);
}

void ServerTable::draw_subset_order() {
    const auto replicas = static_cast<uint64_t>(config_.replica_count);
    const bool is_ordered = config_.subset_order && config_.replica_index < replicas;
    const std::vector<fleet_load::WeightedServer> entries = order_entries();
    const std::vector<double> draws =
        is_ordered ? fleet_load::subset_thresholds(config_.replica_index, config_.replica_count, entries)
                   : fleet_load::independent_thresholds(config_.replica_index, entries);
    for (size_t k = 0; k < servers_.size(); ++k) servers_[k].subset_draw = draws[k];
}

void ServerTable::set_weight(ServerState& server) const {
    server.weight = listed_weight(server);
    if (server.endpoint.zone == config_.zone) return;
    const double cost = config_.cross_zone_cost;
    const double lost = (zone_cost_factor + zone_cost_factor_dear * cost) * cost;
    server.weight *= std::max(least_zone_factor, 1 - lost);
}

void ServerTable::record_load(RequestState& request, double micros) {
    for (ConnectionLoad* load : {&(*this)[request.attempts.back().server].load, &total_})
        load->report(request.type, request.load, micros);
    request.load = micros;
    loads_.add_report(request.type, micros);
}

void ServerTable::add_connection(ServerIndex server, RequestState& request) {
    ServerState& state = (*this)[server];
    request.connection_index = static_cast<int>(state.connections.size());
    servers_in_use_ += state.connections.empty();
    state.connections.push_back(request.id);
    for (ConnectionLoad* load : {&state.load, &total_})
        load->add(request.type, request.load, config_.request_classes.size());
    if (!request.is_protected) return;
    ++state.protected_connections;
    state.drain.set_protected_first(false);
}

std::optional<RequestId> ServerTable::remove_connection(RequestState& request) {
    ServerState& state = (*this)[request.attempts.back().server];
    const RequestId last = state.connections.back();
    state.connections[*request.connection_index] = last;
    state.connections.pop_back();
    servers_in_use_ -= state.connections.empty();
    request.connection_index.reset();
    for (ConnectionLoad* load : {&state.load, &total_}) load->remove(request.type, request.load);
    if (request.is_protected) --state.protected_connections;
    if (last == request.id) return std::nullopt;
    return last;
}

bool ServerTable::is_selectable(TimePoint now, const ServerState& server) {
    return server.endpoint.state == EndpointState::active &&
           server.outliers.is_selectable(now, server.pending_attempts);
}

bool ServerTable::has_warmup_permit(TimePoint now, ServerState& server, double load) const {
    if (!is_cold(now, server)) return true;
    const double fleet_load =
        config_.quota > 0 ? config_.quota : std::max(total_load(), load) * config_.replica_count;
    const double capacity = fleet_load * listed_weight(server) / warm_weight_;
    return server.slow_start.has_permit(now, load, config_.slow_start_config(), capacity, server.id_hash);
}

void ServerTable::begin_slow_start(TimePoint now, ServerIndex server, TimePoint started) {
    (*this)[server].slow_start.begin(now, started);
    (*this)[server].load_limit.lift();
    mark_degraded(server);
}

void ServerTable::record_failure(TimePoint now, ServerIndex server, double penalty) {
    mark_degraded(server);
    (*this)[server].outliers.on_failure(now, penalty);
}

void ServerTable::record_reset(TimePoint now, ServerIndex server) {
    ServerState& state = (*this)[server];
    mark_degraded(server);
    if (!state.outliers.on_reset(now, state.connections.size()))
        return state.load_limit.on_reset(now, load_on(state), full_share(state));
    state.slow_start.expect_restart();
    state.load_limit.lift();
}

void ServerTable::record_established(TimePoint now, ServerIndex server) {
    ServerState& state = (*this)[server];
    --state.pending_attempts;
    if (state.slow_start.is_restart_expected()) begin_slow_start(now, server, now);
    state.established_at = now;
    state.outliers.on_established(now);
}

LoadLimit::Surplus ServerTable::record_latency(TimePoint now, ServerIndex server, double latency,
                                               Duration objective, Pcg32& random) {
    ServerState& state = (*this)[server];
    const LoadLimit::Usage usage{load_on(state), state.connections.size(), full_share(state)};
    mark_degraded(server);
    return state.load_limit.on_latency_report(now, latency, objective, usage, random);
}

void ServerTable::mark_degraded(ServerIndex server) {
    ServerState& state = (*this)[server];
    if (state.degraded_index) return;
    state.degraded_index = degraded_.size();  // its place in the next view
    degraded_.push_back(server);
}

void ServerTable::update_degraded(TimePoint now) {
    std::erase_if(degraded_, [&](ServerIndex index) {
        ServerState& server = (*this)[index];
        const bool is_sound =
            server.outliers.is_clear(now) && !is_cold(now, server) && !load_limit(now, server);
        if (is_sound) server.degraded_index.reset();
        return is_sound;
    });
}

}  // namespace headrouter
