/// Stores the requests that a balancer is currently handling.
#pragma once
#include <algorithm>
#include <cstddef>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "base/time.h"
#include "config/cluster_config.h"
#include "downstream/request_line.h"
#include "policy/balancing_policy.h"
#include "router/executed_request_ids.h"

namespace headrouter {

/// State of a request from the arrival of its request line until its client's connection is closed. A request
/// has at most one running attempt.
struct ActiveRequest {
    RequestLine request_line;
    ServerId server;               ///< server of the latest attempt
    TimePoint attempt_started_at;  ///< start of the latest attempt
    std::optional<int> attempt;    ///< number of the latest attempt, starting at 0; empty before the first

    /// Time of the next connection attempt to the server of an adopted request; zero while an attempt runs.
    TimePoint adoption_retry_at;

    bool attempt_running = false;
    bool is_established = false;
    bool is_adopted = false;              ///< established before this process started, see RequestAdopter
    bool server_line_incomplete = false;  ///< the last bytes from the server did not end a line

    bool migration_pending = false;    ///< to be migrated when the server's line ends
    TimePoint migration_requested_at;  ///< valid only if `migration_pending`

    bool may_have_run = false;                 ///< an attempt was written and not rejected by its server
    bool may_have_run_before_attempt = false;  ///< `may_have_run` before the latest attempt was written

    /// Returns whether the request was reported to the policy. An adopted request is reported only once it is
    /// established again.
    bool is_known_to_policy() const { return is_established || !is_adopted; }
};

/// Returns whether the client may retry a request that ends without an answer from the policy, see
/// retry_policy.
bool may_client_retry(const ActiveRequest&, const PolicyConfig&);

/// Holds the active requests by RequestId, the set of their ids on the wire, and the ids of those that have
/// ended and must not run again.
class ActiveRequests {
   public:
    /// `config` must outlive this object.
    explicit ActiveRequests(const ClusterConfig& config) : config_(config) {}

    using State = std::unordered_map<RequestId, ActiveRequest>;

    const State& state() const { return requests_; }
    void restore(State state);

    /// Returns null if there is no such request. The pointer is valid until the request is removed.
    ActiveRequest* find(RequestId);

    ActiveRequest& add(RequestId, RequestLine);

    /// Returns false if there was no such request.
    bool remove(RequestId);

    /// Returns whether an active request has this id on the wire.
    bool has_wire_id(const std::string& wire_id) const { return wire_ids_.contains(wire_id); }

    /// Returns the ids of requests that have ended, may have run and must not run again.
    const ExecutedRequestIds& executed_ids() const { return executed_ids_; }
    void restore_executed_ids(const ExecutedRequestIds::State& state) { executed_ids_.restore(state); }

    size_t size() const { return requests_.size(); }
    bool empty() const { return requests_.empty(); }
    void clear();

    /// Calls `visit(RequestId, const ActiveRequest&)` for each request, in no particular order.
    template <class Visitor>
    void for_each(Visitor visit) const {
        for (const auto& [id, request] : requests_) visit(id, request);
    }

    /// Returns the ids of the requests for which `predicate(const ActiveRequest&)` is true, in ascending
    /// order.
    template <class Predicate>
    std::vector<RequestId> sorted_ids_if(Predicate predicate) const {
        std::vector<RequestId> ids;
        for (const auto& [id, request] : requests_)
            if (predicate(request)) ids.push_back(id);
        std::sort(ids.begin(), ids.end());
        return ids;
    }

   private:
    bool must_not_run_again(const ActiveRequest&) const;

    const ClusterConfig& config_;
    State requests_;
    std::unordered_set<std::string> wire_ids_;
    ExecutedRequestIds executed_ids_;
};

}  // namespace headrouter
