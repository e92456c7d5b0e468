/// Stores all servers that endpoint lists have named, by index.
#pragma once
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/server_index.h"
#include "fleet_load/subset_order.h"
#include "policy/policy_config.h"
#include "policy/server_state.h"

namespace headrouter {

/// Stores the state of each server, updated from the endpoint list, and the sums over the active servers.
/// Servers are added, never removed.
class ServerTable {
   public:
    struct State {
        std::vector<ServerState> servers;
        std::unordered_map<ServerId, ServerIndex> index;  ///< for lookup only; unordered
        double active_weight = 0;
        double active_listed_weight = 0;
        int active_count = 0;
        int updates = 0;  ///< number of endpoint updates that have begun
    };

    [[nodiscard]] const State& state() const { return state_; }
    void restore(State state) { state_ = std::move(state); }

    /// `config` must outlive the table.
    explicit ServerTable(const PolicyConfig& config) : config_(config) {}

    size_t size() const { return state_.servers.size(); }
    bool contains(ServerIndex server) const { return server.value() < state_.servers.size(); }
    ServerIndexRange indexes() const { return ServerIndexRange{state_.servers.size()}; }
    ServerState& operator[](ServerIndex server) { return state_.servers[server.value()]; }
    const ServerState& operator[](ServerIndex server) const { return state_.servers[server.value()]; }
    std::vector<ServerState>& all() { return state_.servers; }
    const std::vector<ServerState>& all() const { return state_.servers; }
    /// Returns the server's index; no value for an unknown id.
    std::optional<ServerIndex> find(const ServerId&) const;

    /// Result of apply().
    struct Applied {
        ServerIndex server;
        bool is_new = false;
        bool is_restarted = false;  ///< a known id with a later launch time, so another process
    };
    /// Begins an endpoint update. The caller then calls apply() for each endpoint, and end_update().
    void begin_update() { ++state_.updates; }
    /// Adds or updates one server from its entry in the list.
    Applied apply(const Endpoint&);
    /// Ends an endpoint update and computes the sums. If the update is a whole list, sets servers that it
    /// does not name to the removed state.
    void end_update(bool is_whole_list);
    /// Returns whether at most one update has begun so far.
    bool is_first_update() const { return state_.updates <= 1; }

    /// Returns the weight of all active servers for this balancer, with reduced weights for other zones.
    double active_weight() const { return state_.active_weight; }
    /// Returns the weight of all active servers as listed.
    double active_listed_weight() const { return state_.active_listed_weight; }
    int active_count() const { return state_.active_count; }
    /// Returns the hash, weight and activity of each server, as the deterministic subset order needs them.
    std::vector<fleet_load::WeightedServer> order_entries() const;
    /// Returns whether the server keeps most of its weight, so that its zone is this balancer's own or cheap
    /// to reach.
    bool is_in_near_zone(ServerIndex) const;
    /// Returns the endpoint's weight, raised to a small positive minimum.
    static double listed_weight(const ServerState&);

   private:
    /// Returns the server's weight for this balancer, reduced if the server is in another zone.
    double zone_adjusted_weight(const ServerState&) const;

    const PolicyConfig& config_;
    State state_;
};

}  // namespace headrouter
