#include "policy/connection_tracker.h"

namespace headrouter {

void ConnectionTracker::add(ServerIndex server, RequestState& request) {
    loads_.add_connection(server, request);
    if (!request.group.empty()) groups_.add(request.group, server);
}

void ConnectionTracker::remove(RequestState& request) {
    const std::optional<int> index = request.connection_index;
    if (!index) return;
    const std::optional<RequestId> replacement = loads_.remove_connection(request);
    if (replacement) requests_.at(*replacement).connection_index = index;
    if (!request.group.empty()) groups_.remove(request.group, request.attempts.back().server);
}

void ConnectionTracker::migrate(RequestState& request) {
    const RequestId id = request.id;
    actions_.migrate(id);
    remove(request);
    requests_.erase(id);
}

}  // namespace headrouter
