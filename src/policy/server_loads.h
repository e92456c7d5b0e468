/// The load that this balancer has on each server and on all.
#pragma once
#include <optional>
#include <utility>

#include "load/request_class_loads.h"
#include "policy/policy_config.h"
#include "policy/request_state.h"
#include "policy/server_table.h"

namespace headrouter {

/// Keeps the load of each server, and their sum, in step with each connection, so that no request costs a
/// pass over a large fleet.
///
/// Loads are in mean load units: 1 is the load of the mean connection of this balancer. A connection counts
/// by its reported load, else by what its request class was seen to need: numbers of connections do not
/// mirror load where classes differ in it.
class ServerLoads {
   public:
    struct State {
        ConnectionLoad total;
        RequestClassLoads class_loads;
        int servers_in_use = 0;
    };

    [[nodiscard]] const State& state() const { return state_; }
    void restore(State state) { state_ = std::move(state); }

    /// Both must outlive it.
    ServerLoads(const PolicyConfig& config, ServerTable& servers) : config_(config), servers_(servers) {}
    /// The configuration has changed.
    void configure() { state_.class_loads.resize(config_.request_classes.size()); }

    /// Takes over the load that a client hinted for its request, if it did.
    void learn_hinted_load(RequestState&);
    /// A connection's load was reported, in microseconds of work a second.
    void record_load(RequestState&, double micros_a_second);
    /// Counts the request, established or pending, as one of the server's connections.
    void add_connection(ServerIndex, RequestState&);
    /// The connection of the last attempt has ended. Returns the connection that has taken its place in the
    /// server's list, if any has.
    std::optional<RequestId> remove_connection(RequestState&);

    double load_of(const RequestState& request) const {
        return request.load ? *request.load / state_.class_loads.mean_unit()
                            : state_.class_loads.relative_load(request.type);
    }
    double load_on(const ServerState& server) const { return server.load.in_units(state_.class_loads); }
    double total() const { return state_.total.in_units(state_.class_loads); }
    /// What the server's weight alone gives it of this balancer's load.
    double full_share(const ServerState&) const;
    /// How many servers have any connection of this balancer.
    int servers_in_use() const { return state_.servers_in_use; }

    /// The load above which the server is known to answer slowly, if there is one.
    std::optional<double> load_limit(TimePoint now, const ServerState&) const;
    /// The same, rounded by chance for whole connections (LoadLimit::rounding).
    std::optional<double> rounded_load_limit(TimePoint now, const ServerState&) const;

   private:
    const PolicyConfig& config_;
    ServerTable& servers_;
    State state_;
};

}  // namespace headrouter
