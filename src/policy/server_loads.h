/// Tracks this balancer's load on each server and in total.
#pragma once
#include <optional>
#include <utility>

#include "load/request_class_loads.h"
#include "policy/policy_config.h"
#include "policy/request_state.h"
#include "policy/server_table.h"

namespace headrouter {

/// Updates the load of each server, and the total, whenever a connection is added, removed or reported, so
/// that no request requires an iteration over a large fleet.
///
/// Loads are in mean load units: 1 is the load of the mean connection of this balancer. A connection counts
/// with its reported load or, without a report, with the mean reported load of its request class: the number
/// of connections does not reflect the load where the load of the classes differs.
class ServerLoads {
   public:
    struct State {
        ConnectionLoad total;
        RequestClassLoads class_loads;
        int servers_in_use = 0;
    };

    [[nodiscard]] const State& state() const { return state_; }
    void restore(State state) { state_ = std::move(state); }

    /// Both arguments must outlive this object.
    ServerLoads(const PolicyConfig& config, ServerTable& servers) : config_(config), servers_(servers) {}
    /// Applies a changed configuration.
    void configure() { state_.class_loads.resize(config_.request_classes.size()); }

    /// Sets the request's load to the load that the client hinted, if any, and counts it as a report.
    void learn_hinted_load(RequestState&);
    /// Records the reported load of a connection, in microseconds of work per second.
    void record_load(RequestState&, double micros_per_second);
    /// Adds the request, established or pending, to the server's connections.
    void add_connection(ServerIndex, RequestState&);
    /// Removes the connection of the request's last attempt, which has ended. Returns the connection that was
    /// moved to its position in the server's list, if any.
    std::optional<RequestId> remove_connection(RequestState&);

    /// Returns the load of one request.
    double load_of(const RequestState& request) const {
        return request.load ? *request.load / state_.class_loads.mean_unit()
                            : state_.class_loads.relative_load(request.type);
    }
    /// Returns this balancer's load on one server.
    double load_on(const ServerState& server) const { return server.load.in_units(state_.class_loads); }
    /// Returns this balancer's load on all servers.
    double total() const { return state_.total.in_units(state_.class_loads); }
    /// Returns the server's share of this balancer's load by its weight alone.
    double full_share(const ServerState&) const;
    /// Returns the number of servers with connections of this balancer.
    int servers_in_use() const { return state_.servers_in_use; }

    /// Returns the load above which the server answers slowly, if there is such a limit.
    std::optional<double> load_limit(TimePoint now, const ServerState&) const;
    /// Returns the load limit with its random rounding to whole connections (LoadLimit::rounding).
    std::optional<double> rounded_load_limit(TimePoint now, const ServerState&) const;

   private:
    const PolicyConfig& config_;
    ServerTable& servers_;
    State state_;
};

}  // namespace headrouter
