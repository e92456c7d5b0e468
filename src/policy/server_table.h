/// The servers that endpoint lists have named, by index.
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

/// The servers with all that this balancer knows of each, kept in step with the endpoint list, and the sums
/// over the active ones. Servers are added, never removed.
class ServerTable {
   public:
    struct State {
        std::vector<ServerState> servers;
        std::unordered_map<ServerId, ServerIndex> index;  ///< looked up only: in no order
        double active_weight = 0;
        double active_listed_weight = 0;
        int active_count = 0;
        int updates = 0;  ///< how many have begun
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
    /// The server's index; nothing for an unknown id.
    std::optional<ServerIndex> find(const ServerId&) const;

    /// What apply() found.
    struct Applied {
        ServerIndex server;
        bool is_new = false;
        bool is_restarted = false;  ///< another process under a known id, by its time of launch
    };
    /// An endpoint update begins; its endpoints follow by apply(), then end_update().
    void begin_update() { ++state_.updates; }
    /// Takes over what the list says of one server.
    Applied apply(const Endpoint&);
    /// After the last endpoint of an update: servers that a whole list does not name are removed.
    void end_update(bool is_whole_list);
    /// Whether no more than one update has come so far.
    bool is_first_update() const { return state_.updates <= 1; }

    /// The weight of all active servers for this balancer, which has less use for other zones'.
    double active_weight() const { return state_.active_weight; }
    /// The same with the weights as listed.
    double active_listed_weight() const { return state_.active_listed_weight; }
    int active_count() const { return state_.active_count; }
    /// Each server as the deterministic orders need it.
    std::vector<fleet_load::WeightedServer> order_entries() const;
    /// Whether the server keeps most of its weight, so that its zone is this balancer's or cheap to reach.
    bool is_in_near_zone(ServerIndex) const;
    /// The endpoint's weight, of which even a server that is listed without any has a little.
    static double listed_weight(const ServerState&);

   private:
    /// The server's weight for this balancer.
    double weight_here(const ServerState&) const;

    const PolicyConfig& config_;
    State state_;
};

}  // namespace headrouter
