/// Decides whether the endpoint list of a shared discovery service is too old to rely on. A change of the
/// service's list counts as known to every balancer a few seconds after balancers could have fetched it,
/// whether or not this balancer got an answer; by then an endpoint that is active in this balancer's list
/// may be draining. While no balancer can reach the service, no change counts as known. No I/O.
#pragma once
#include <optional>

#include "base/time.h"

namespace headrouter {

/// Returns for how long after its start a process may use a list that discovery has not confirmed since.
/// Changes that the list lacks may count as known from the first moment; from then on requests may go to
/// draining endpoints for `drain_grace`, which has to cover a hold-up of the process.
[[nodiscard]] Duration unconfirmed_use_time(Duration drain_grace);

/// Tracks how long the endpoint list has been known to be current.
class EndpointStaleness {
   public:
    /// `fresh_until`: end of the time for which the list is known to equal the service's list.
    explicit EndpointStaleness(TimePoint fresh_until) : fresh_until_(fresh_until) {}

    /// Describes a list of unknown age, such as a stored one, that must not be used after `usable_until`
    /// unless discovery confirms it.
    [[nodiscard]] static EndpointStaleness unconfirmed(TimePoint now, TimePoint usable_until);

    /// Records that the service has answered with its list or reported that nothing has changed.
    void on_list_received(TimePoint now);

    /// Records that a request returned no list. `was_reached`: some bytes were received all the same, so
    /// other balancers may have received the list.
    void on_request_failed(TimePoint now, bool was_reached);

    bool is_stale(TimePoint now) const;
    TimePoint fresh_until() const { return fresh_until_; }

   private:
    TimePoint fresh_until_;
    std::optional<TimePoint> unconfirmed_until_;  // until the first list is received
    bool was_reached_ = false;                    // by the last request, if that returned no list
};

}  // namespace headrouter
