#include "discovery/endpoint_staleness.h"

namespace headrouter {

namespace {

// Time after which a list counts as known to every balancer, by the operators' acceptance terms.
constexpr Duration propagation_allowance = seconds(6);
// Leaves time to write an attempt that has just passed the staleness check.
constexpr Duration write_margin = millis(100);

}  // namespace

void EndpointStaleness::on_list_received(TimePoint now) {
    fresh_until_ = now;
    was_reached_ = false;
}

void EndpointStaleness::on_request_failed(TimePoint now, bool was_reached) {
    was_reached_ = was_reached;
    if (!was_reached) fresh_until_ = now;
}

bool EndpointStaleness::is_stale(TimePoint now) const {
    return was_reached_ && now - fresh_until_ > propagation_allowance - write_margin;
}

}  // namespace headrouter
