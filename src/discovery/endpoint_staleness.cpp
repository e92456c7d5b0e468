#include "discovery/endpoint_staleness.h"

#include <algorithm>

namespace headrouter {

namespace {

// Time after which a list counts as known to every balancer, by the operators' acceptance terms.
constexpr Duration propagation_allowance = seconds(6);
// Leaves time to write an attempt that has just passed the staleness check.
constexpr Duration write_margin = millis(100);
// Longest time for which a process may be held up between reading its clock and writing, by the operators'
// acceptance terms.
constexpr Duration max_hold_up = millis(150);
// Time from the first moment of a process until it reads its clock.
constexpr Duration process_start_margin = millis(100);

}  // namespace

Duration unconfirmed_use_time(Duration drain_grace) {
    return std::max(Duration{}, drain_grace - max_hold_up - process_start_margin);
}

EndpointStaleness EndpointStaleness::unconfirmed(TimePoint now, TimePoint usable_until) {
    EndpointStaleness staleness(now);
    staleness.unconfirmed_until_ = usable_until;
    return staleness;
}

void EndpointStaleness::on_list_received(TimePoint now) {
    fresh_until_ = now;
    unconfirmed_until_.reset();
    was_reached_ = false;
}

void EndpointStaleness::on_request_failed(TimePoint now, bool was_reached) {
    was_reached_ = was_reached;
    if (!was_reached) fresh_until_ = now;
}

bool EndpointStaleness::is_stale(TimePoint now) const {
    if (unconfirmed_until_ && now > *unconfirmed_until_) return true;
    return was_reached_ && now - fresh_until_ > propagation_allowance - write_margin;
}

}  // namespace headrouter
