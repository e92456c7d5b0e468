/// The table of the requests that a balancer has in hand.
#pragma once
#include <algorithm>
#include <cstddef>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "base/time.h"
#include "downstream/request_line.h"
#include "policy/balancing_policy.h"

namespace headrouter {

/// A request from its request line to the end of its client's connection. It has one attempt at a time.
struct ActiveRequest {
    RequestLine request_line;
    ServerId server;               ///< of the latest attempt
    TimePoint attempt_started_at;  ///< of the latest attempt
    std::optional<int> attempt;    ///< number of the latest attempt, counted from 0

    /// Adopted: when its server is connected to again; zero where an attempt runs.
    TimePoint adoption_retry_at;

    bool attempt_running = false;
    bool is_established = false;
    bool is_adopted = false;              ///< it was established before this process, see RequestAdopter
    bool server_line_incomplete = false;  ///< the last bytes of its server did not end a line

    bool migration_pending = false;    ///< to be migrated at the end of its server's line
    TimePoint migration_requested_at;  ///< where `migration_pending`

    bool may_have_run = false;                 ///< some attempt was written that the server did not turn away
    bool may_have_run_before_attempt = false;  ///< the same before the latest attempt

    /// The policy hears of an adopted request only once that is established again.
    bool is_known_to_policy() const { return is_established || !is_adopted; }
};

/// Whether the client of a request that the policy has not answered may ask again, see retry_policy.
bool may_client_retry(const ActiveRequest&, const PolicyConfig&);

/// Active requests by the balancer's id, and the ids by which servers know them.
class ActiveRequests {
   public:
    using State = std::unordered_map<RequestId, ActiveRequest>;

    const State& state() const { return requests_; }
    void restore(State state);

    /// Null where there is no such request. Valid until the request is removed.
    ActiveRequest* find(RequestId);

    ActiveRequest& add(RequestId, RequestLine);

    /// False where there was no such request.
    bool remove(RequestId);

    /// Whether one of them has this id on the wire.
    bool has_wire_id(const std::string& wire_id) const { return wire_ids_.contains(wire_id); }

    size_t size() const { return requests_.size(); }
    bool empty() const { return requests_.empty(); }
    void clear();

    /// Calls `visit(RequestId, const ActiveRequest&)` for each, in no particular order.
    template <class Visitor>
    void for_each(Visitor visit) const {
        for (const auto& [id, request] : requests_) visit(id, request);
    }

    /// The ids of those for which `predicate(const ActiveRequest&)` holds, in ascending order.
    template <class Predicate>
    std::vector<RequestId> sorted_ids_if(Predicate predicate) const {
        std::vector<RequestId> ids;
        for (const auto& [id, request] : requests_)
            if (predicate(request)) ids.push_back(id);
        std::sort(ids.begin(), ids.end());
        return ids;
    }

   private:
    State requests_;
    std::unordered_set<std::string> wire_ids_;
};

}  // namespace headrouter
