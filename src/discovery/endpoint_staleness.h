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
    /// What another process needs to continue. It does not contain a time limit of `reconfigured()`, which
    /// `confirmed_until` is moved back for.
    struct State {
        /// End of the time for which the list is known to equal discovery's list, or for which discovery
        /// could not be reached.
        TimePoint confirmed_until;
        /// When the list becomes stale unless it is received again; nothing while no change can count as
        /// known.
        std::optional<TimePoint> stale_from;
    };

    /// Describes a list that equals discovery's list at `confirmed_until`.
    explicit EndpointStaleness(TimePoint confirmed_until) : EndpointStaleness({confirmed_until, {}}) {}
    explicit EndpointStaleness(const State& state) : state_(state), received_at_(state.confirmed_until) {}

    /// Describes a list of unknown age, such as a cached one, that must not be used after `usable_until`
    /// unless discovery confirms it.
    [[nodiscard]] static EndpointStaleness unconfirmed(TimePoint now, TimePoint usable_until) {
        return EndpointStaleness({now, usable_until});
    }

    /// Describes the list of a discovery address to which a new configuration has moved the balancer at
    /// `now`.
    [[nodiscard]] static EndpointStaleness reconfigured(TimePoint now);

    /// Records that the service has answered with its list or reported that nothing has changed.
    void on_list_received(TimePoint now);

    /// Records that a request returned no list. `was_reached`: some bytes were received all the same, so
    /// other balancers may have received the list.
    void on_request_failed(TimePoint now, bool was_reached);

    /// Records that a request sent at `sent_at`, which was recorded as failed without being reached when its
    /// response was overdue, has received something that is no list: discovery could be reached all the time.
    void on_late_failure(TimePoint sent_at);

    bool is_stale(TimePoint now) const { return state_.stale_from && now > *state_.stale_from; }
    State state() const;

    /// Makes the list stale at `stale_from` at the latest unless it is received again.
    void limit(TimePoint stale_from);

   private:
    State state_;
    TimePoint received_at_;              // of the last list
    std::optional<TimePoint> known_by_;  // when all that discovery has counts as known, if it can be reached
};

}  // namespace headrouter
