#include "router/active_requests.h"

#include <utility>

#include "policy/retry_policy.h"

namespace headrouter {

bool may_client_retry(const ActiveRequest& request, const PolicyConfig& config) {
    return retry_policy::may_client_retry(config.request_classes[request.request_line.request.type],
                                          request.may_have_run,
                                          retry_policy::ClientRetryBasis::execution_only);
}

void ActiveRequests::restore(State state) {
    requests_ = std::move(state);
    wire_ids_.clear();
    for (const auto& [id, request] : requests_) wire_ids_.insert(request.request_line.wire_id);
}

ActiveRequest* ActiveRequests::find(RequestId id) {
    const auto it = requests_.find(id);
    return it == requests_.end() ? nullptr : &it->second;
}

ActiveRequest& ActiveRequests::add(RequestId id, RequestLine request_line) {
    ActiveRequest& request = requests_[id];
    request.request_line = std::move(request_line);
    wire_ids_.insert(request.request_line.wire_id);
    return request;
}

bool ActiveRequests::remove(RequestId id) {
    const auto it = requests_.find(id);
    if (it == requests_.end()) return false;
    const std::string& wire_id = it->second.request_line.wire_id;
    if (must_not_run_again(it->second)) executed_ids_.add(wire_id);
    wire_ids_.erase(wire_id);
    requests_.erase(it);
    return true;
}

// An adopted request is the same connection again, which its server expects.
bool ActiveRequests::must_not_run_again(const ActiveRequest& request) const {
    const bool may_have_run = request.may_have_run || request.is_established;
    if (!may_have_run || request.is_adopted) return false;
    const RequestClass& request_class =
        config_.policy.request_classes[static_cast<size_t>(request.request_line.request.type)];
    return request_class.idempotency != Idempotency::idempotent;
}

void ActiveRequests::clear() {
    requests_.clear();
    wire_ids_.clear();
}

}  // namespace headrouter
