#include "policy/server_loads.h"

#include <algorithm>

namespace headrouter {

namespace {
/// Lower bound of a weight sum used as a divisor, for fleets in which no server has a weight.
constexpr double min_weight = 1e-9;

constexpr double ns_per_microsecond = 1000;
}  // namespace

void ServerLoads::learn_hinted_load(RequestState& request) {
    if (!request.hinted_load) return;
    request.load = static_cast<double>(request.hinted_load->ns) / ns_per_microsecond;
    state_.class_loads.add_report(request.type, *request.load);
}

void ServerLoads::record_load(RequestState& request, double micros_per_second) {
    for (ConnectionLoad* load : {&servers_[request.attempts.back().server].load, &state_.total})
        load->report(request.type, request.load, micros_per_second);
    request.load = micros_per_second;
    state_.class_loads.add_report(request.type, micros_per_second);
}

void ServerLoads::add_connection(ServerIndex index, RequestState& request) {
    ServerState& server = servers_[index];
    request.connection_index = static_cast<int>(server.connections.size());
    if (server.connections.empty()) ++state_.servers_in_use;
    server.connections.push_back(request.id);
    for (ConnectionLoad* load : {&server.load, &state_.total})
        load->add(request.type, request.load, config_.request_classes.size());
    if (!request.is_protected) return;
    ++server.protected_connections;
    server.drain.set_protected_first(false);
}

std::optional<RequestId> ServerLoads::remove_connection(RequestState& request) {
    ServerState& server = servers_[request.attempts.back().server];
    const RequestId last = server.connections.back();
    server.connections[*request.connection_index] = last;
    server.connections.pop_back();
    if (server.connections.empty()) --state_.servers_in_use;
    request.connection_index.reset();
    for (ConnectionLoad* load : {&server.load, &state_.total}) load->remove(request.type, request.load);
    if (request.is_protected) --server.protected_connections;
    if (last == request.id) return std::nullopt;
    return last;
}

double ServerLoads::full_share(const ServerState& server) const {
    return total() * server.weight / std::max(servers_.active_weight(), min_weight);
}

std::optional<double> ServerLoads::load_limit(TimePoint now, const ServerState& server) const {
    if (!server.load_limit.is_set()) return std::nullopt;
    return server.load_limit.at(now, full_share(server));
}

std::optional<double> ServerLoads::rounded_load_limit(TimePoint now, const ServerState& server) const {
    const std::optional<double> limit = load_limit(now, server);
    if (!limit) return std::nullopt;
    return *limit + server.load_limit.rounding();
}

}  // namespace headrouter
