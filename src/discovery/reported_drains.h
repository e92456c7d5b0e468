/// Keeps drains that one discovery address has reported when the balancer changes to another one.
#pragma once
#include <optional>
#include <unordered_map>

#include "discovery/endpoint_update.h"

namespace headrouter {

/// Remembers when each endpoint was reported to drain or to be removed. The list of another address may be
/// older: a change counts as known everywhere only some seconds after discovery had it. For that time an
/// endpoint stays draining, although the new address lists it as active, unless its process has been started
/// again since.
class ReportedDrains {
   public:
    /// Marks all reports so far as those of an earlier address.
    void change_address();

    /// Records an update and returns it as it is to be applied: endpoints that an earlier address reported to
    /// drain count as draining. What the update says of them is kept until take_released().
    EndpointUpdate apply(EndpointUpdate update, TimePoint now);

    /// Returns, as a delta, the endpoints whose time is over, as the address last listed them.
    EndpointUpdate take_released(TimePoint now);

    /// Returns when take_released() has to be called next; nothing if no endpoint is held.
    std::optional<TimePoint> next_release() const;

   private:
    struct Report {
        bool is_active = true;
        TimePoint at;  ///< when the endpoint was first reported as no longer active
        std::optional<TimePoint> launched;
        bool is_of_earlier_address = false;
    };
    struct HeldEndpoint {
        EndpointUpdate::Entry entry;
        TimePoint until;
    };

    void record(const Endpoint& endpoint, TimePoint now);
    void record_missing(const EndpointUpdate& snapshot, TimePoint now);
    /// Returns until when an endpoint counts as draining although it is listed as active; nothing if it does
    /// not.
    std::optional<TimePoint> held_until(const Endpoint& endpoint, TimePoint now) const;

    std::unordered_map<ServerId, Report> reports_;
    std::unordered_map<ServerId, HeldEndpoint> held_;
};

}  // namespace headrouter
