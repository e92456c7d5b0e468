#include "router/active_requests.h"

#include <utility>

namespace headrouter {

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
    wire_ids_.erase(it->second.request_line.wire_id);
    requests_.erase(it);
    return true;
}

void ActiveRequests::clear() {
    requests_.clear();
    wire_ids_.clear();
}

}  // namespace headrouter
