/// The servers that endpoint lists have named, by index.
#pragma once
#include <optional>
#include <unordered_map>
#include <vector>

#include "base/server_index.h"
#include "fleet_load/subset_order.h"
#include "policy/policy_config.h"
#include "policy/server_state.h"

namespace headrouter {

struct StateAccess;

/// The servers with all that this balancer knows of each, kept in step with the endpoint list, and the sums
/// over the active ones. Servers are added, never removed.
class ServerTable {
   public:
    /// `config` must outlive the table.
    explicit ServerTable(const PolicyConfig& config) : config_(config) {}

    size_t size() const { return servers_.size(); }
    bool contains(ServerIndex server) const { return server.value() < servers_.size(); }
    ServerIndexRange indexes() const { return ServerIndexRange{servers_.size()}; }
    ServerState& operator[](ServerIndex server) { return servers_[server.value()]; }
    const ServerState& operator[](ServerIndex server) const { return servers_[server.value()]; }
    std::vector<ServerState>& all() { return servers_; }
    const std::vector<ServerState>& all() const { return servers_; }
    /// The server's index; nothing for an unknown id.
    std::optional<ServerIndex> find(const ServerId&) const;

    /// What apply() found.
    struct Applied {
        ServerIndex server;
        bool is_new = false;
        bool is_restarted = false;  ///< another process under a known id, by its time of launch
    };
    /// An endpoint update begins; its endpoints follow by apply(), then end_update().
    void begin_update() { ++updates_; }
    /// Takes over what the list says of one server.
    Applied apply(const Endpoint&);
    /// After the last endpoint of an update: servers that a whole list does not name are removed.
    void end_update(bool is_whole_list);
    /// Whether no more than one update has come so far.
    bool is_first_update() const { return updates_ <= 1; }

    /// The weight of all active servers for this balancer, which has less use for other zones'.
    double active_weight() const { return active_weight_; }
    /// The same with the weights as listed.
    double active_listed_weight() const { return active_listed_weight_; }
    int active_count() const { return active_count_; }
    /// Each server as the deterministic orders need it.
    std::vector<fleet_load::WeightedServer> order_entries() const;
    /// Whether the server keeps most of its weight, so that its zone is this balancer's or cheap to reach.
    bool is_in_near_zone(ServerIndex) const;
    /// The endpoint's weight, of which even a server that is listed without any has a little.
    static double listed_weight(const ServerState&);

   private:
    friend struct StateAccess;
    friend struct PolicyInspector;
    /// The server's weight for this balancer.
    double weight_here(const ServerState&) const;

    const PolicyConfig& config_;
    std::vector<ServerState> servers_;
    std::unordered_map<ServerId, ServerIndex> index_;  // looked up only: its order is arbitrary
    double active_weight_ = 0;
    double active_listed_weight_ = 0;
    int active_count_ = 0;
    int updates_ = 0;
};

}  // namespace headrouter
