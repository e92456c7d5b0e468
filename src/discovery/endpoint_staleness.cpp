#include "discovery/endpoint_staleness.h"

#include <algorithm>

#include "discovery/propagation_allowance.h"

namespace headrouter {

namespace {

// Time from a new configuration until what its discovery address has counts as known, by the operators'
// acceptance terms.
constexpr Duration reconfiguration_allowance = seconds(4);
// Leaves time to write an attempt that has just passed the staleness check.
constexpr Duration write_margin = millis(100);
// Time for which a list is used after discovery confirmed it, if discovery could be reached since.
constexpr Duration use_time = propagation_allowance - write_margin;
// Longest time for which a process may be held up between reading its clock and writing, by the operators'
// acceptance terms.
constexpr Duration max_hold_up = millis(150);
// Time from the first moment of a process until it reads its clock.
constexpr Duration process_start_margin = millis(100);

}  // namespace

Duration unconfirmed_use_time(Duration drain_grace) {
    return std::max(Duration{}, drain_grace - max_hold_up - process_start_margin);
}

EndpointStaleness EndpointStaleness::reconfigured(TimePoint now) {
    EndpointStaleness staleness(now);
    staleness.known_by_ = now + reconfiguration_allowance - write_margin;
    return staleness;
}

void EndpointStaleness::on_list_received(TimePoint now) {
    state_ = {now, {}};
    received_at_ = now;
    known_by_.reset();
}

EndpointStaleness::State EndpointStaleness::state() const {
    State state = state_;
    if (known_by_) state.confirmed_until = std::min(state.confirmed_until, *known_by_ - use_time);
    return state;
}

void EndpointStaleness::limit(TimePoint stale_from) {
    state_.stale_from = std::min(state_.stale_from.value_or(stale_from), stale_from);
}

void EndpointStaleness::on_request_failed(TimePoint now, bool was_reached) {
    if (was_reached) {
        limit(state_.confirmed_until + use_time);
        if (known_by_) limit(*known_by_);
        return;
    }
    // That discovery cannot be reached now says nothing of the time in which it could be reached: a change
    // that the list may lack since then still counts as known.
    if (!state_.stale_from) state_.confirmed_until = now;
}

void EndpointStaleness::on_late_failure(TimePoint sent_at) {
    const TimePoint reached_since = std::max(received_at_, sent_at);
    state_.confirmed_until = std::min(state_.confirmed_until, reached_since);
    on_request_failed(state_.confirmed_until, true);
}

}  // namespace headrouter
