// All servers, the load that this balancer has on them, and the sums over them that placement needs.
#pragma once
#include <algorithm>
#include <optional>
#include <unordered_map>
#include <vector>

#include "fleet_load/subset_order.h"
#include "load/request_class_loads.h"
#include "policy/policy_config.h"
#include "policy/request_state.h"
#include "policy/server_state.h"

namespace headrouter {

struct StateAccess;

/// The servers by index. Keeps their load in step with each connection, so that no request costs a pass over
/// a large fleet: only degraded servers (failing, cold or with a load limit) need a look of their own.
/// Loads are in mean load units: 1 is the load of the mean connection of this balancer.
class ServerTable {
   public:
    /// `config` must outlive the table; configure() is called whenever it has changed.
    explicit ServerTable(const PolicyConfig& config) : config_(config) {}
    void configure();

    size_t size() const { return servers_.size(); }
    bool contains(ServerIndex server) const { return server.value() < servers_.size(); }
    ServerIndexRange indexes() const { return ServerIndexRange{servers_.size()}; }
    ServerState& operator[](ServerIndex server) { return servers_[server.value()]; }
    const ServerState& operator[](ServerIndex server) const { return servers_[server.value()]; }
    std::vector<ServerState>& all() { return servers_; }
    const std::vector<ServerState>& all() const { return servers_; }
    /// The server's index; nothing for an unknown id.
    std::optional<ServerIndex> find(const ServerId& id) const {
        const auto it = index_.find(id);
        if (it == index_.end()) return std::nullopt;
        return it->second;
    }

    // The endpoint list.
    /// What apply() found.
    struct Applied {
        ServerIndex server;
        bool is_new;
        bool is_restarted;  ///< another process under a known id, by its time of launch
    };
    /// An endpoint update begins; its endpoints follow by apply(), then end_update().
    void begin_update() { ++updates_; }
    /// Takes over what the list says of one server.
    Applied apply(const Endpoint&);
    /// After the last endpoint of an update: servers that a whole list does not name are gone.
    void end_update(TimePoint now, bool is_whole_list);
    /// The weight of all active servers, other zones' at their part; and how many there are.
    double active_weight() const { return active_weight_; }
    int active_count() const { return active_count_; }
    /// Once a cycle: a cold server's part must not grow as others are lost around it, nor stay small for ever
    /// after the fleet has shrunk. Slowly both ways: while new servers take the place of old ones, both are
    /// listed for a moment.
    void update_warm_weight();
    /// Each server as the deterministic orders need it.
    std::vector<fleet_load::WeightedServer> order_entries() const {
        std::vector<fleet_load::WeightedServer> entries;
        for (const ServerState& server : servers_)
            entries.push_back(
                {server.id_hash, server.weight, server.endpoint.state == EndpointState::active});
        return entries;
    }
    bool is_in_near_zone(ServerIndex server) const {
        const ServerState& state = (*this)[server];
        return state.weight > near_zone_factor * listed_weight(state);
    }
    /// The endpoint's weight, of which even a server listed without any has a little.
    static double listed_weight(const ServerState& server) {
        return std::max(server.endpoint.weight, least_weight);
    }

    // Load.
    /// The load that a client hinted for its request.
    void learn_hinted_load(RequestState& request) {
        if (!request.hinted_load) return;
        request.load = static_cast<double>(request.hinted_load->ns) / 1000;
        loads_.add_report(request.type, *request.load);
    }
    /// A connection's load was reported, in microseconds a second.
    void record_load(RequestState&, double micros);
    /// Counts the request, established or pending, as one of the server's connections.
    void add_connection(ServerIndex server, RequestState&);
    /// The connection of the last attempt has ended. Returns the connection that has taken its place in the
    /// server's list, if any has.
    std::optional<RequestId> remove_connection(RequestState&);
    /// Counts do not mirror load where classes differ in it: a connection counts by its reported load, else
    /// by what its class was seen to need.
    double load_of(const RequestState& request) const {
        return request.load ? *request.load / loads_.mean_unit() : loads_.relative_load(request.type);
    }
    double load_on(const ServerState& server) const { return server.load.in_units(loads_); }
    double total_load() const { return total_.in_units(loads_); }
    /// What the server's weight alone gives it of this balancer's load.
    double full_share(const ServerState& server) const {
        return total_load() * server.weight / std::max(active_weight_, 1e-9);
    }
    int servers_in_use() const { return servers_in_use_; }

    // The state of single servers.
    /// Whether the server may get a new connection, as far as its own state goes.
    static bool is_selectable(TimePoint now, const ServerState&);
    bool is_cold(TimePoint now, const ServerState& server) const {
        return server.slow_start.is_cold(now, config_.slow_start_time);
    }
    double slow_start_factor(TimePoint now, const ServerState& server) const {
        return server.slow_start.factor(now, config_.slow_start_time);
    }
    /// Whether slow start lets this balancer send the server a connection of that load now. Rule 4, by what a
    /// server carries warm: its part of what is known of the fleet, else of what all may hold.
    bool has_warmup_permit(TimePoint now, ServerState&, double load) const;
    /// The load above which the server is known to answer slowly, if there is one.
    std::optional<double> load_limit(TimePoint now, const ServerState& server) const {
        if (!server.load_limit.is_set()) return std::nullopt;
        return server.load_limit.at(now, full_share(server));
    }
    /// The same, rounded by chance for whole connections (LoadLimit::rounding).
    std::optional<double> rounded_load_limit(TimePoint now, const ServerState& server) const {
        const std::optional<double> limit = load_limit(now, server);
        if (!limit) return std::nullopt;
        return *limit + server.load_limit.rounding();
    }
    /// Listed servers that would get no new connection now.
    int count_unselectable(TimePoint now) const {
        return static_cast<int>(
            std::count_if(servers_.begin(), servers_.end(), [&](const ServerState& server) {
                return server.endpoint.state != EndpointState::removed && !is_selectable(now, server);
            }));
    }
    /// The server's process started at `started`.
    void begin_slow_start(TimePoint now, ServerIndex server, TimePoint started);
    /// An attempt that was not established has failed; `penalty` as of OutlierDetector::on_failure.
    void record_failure(TimePoint now, ServerIndex server, double penalty);
    /// An established connection was broken.
    void record_reset(TimePoint now, ServerIndex server);
    /// A pending attempt was established. A server that broke all it had and answers again is a new process,
    /// cold, before the list says so.
    void record_established(TimePoint now, ServerIndex server);
    /// A message last took `latency` seconds at the server. Returns what is to be migrated off.
    LoadLimit::Surplus record_latency(TimePoint now, ServerIndex server, double latency, Duration objective,
                                      Pcg32&);

    // Degraded servers.
    /// From now on the server needs a look of its own in each view.
    void mark_degraded(ServerIndex server);
    /// Forgets those that have recovered.
    void update_degraded(TimePoint now);
    const std::vector<ServerIndex>& degraded() const { return degraded_; }

   private:
    friend struct StateAccess;
    friend struct PolicyInspector;
    // A list may name a server without weight; it still counts for something, so that shares stay finite.
    static constexpr double least_weight = 1e-3;
    // Other zones: how fast their servers' weight falls with the cost of crossing, and to what at the least.
    // A cheap crossing is not worth groups in every zone.
    static constexpr double zone_cost_factor = 8, zone_cost_factor_dear = 15, least_zone_factor = 0.02;
    // A server that keeps more of its weight than this is in a near zone.
    static constexpr double near_zone_factor = 0.5;
    // Rule 4: what a lost server still counts in the capacity of each after a cycle.
    static constexpr double weight_kept_per_cycle = 0.9;

    void set_weight(ServerState&) const;
    /// By the replica index among so many, where both are known; else each for itself (departure 9).
    void draw_subset_order();

    const PolicyConfig& config_;
    std::vector<ServerState> servers_;
    std::unordered_map<ServerId, ServerIndex> index_;  // looked up only: its order is arbitrary
    std::vector<ServerIndex> degraded_;
    ConnectionLoad total_;
    RequestClassLoads loads_;
    double active_weight_ = 0, active_listed_weight_ = 0;  // the latter: other zones in full
    int active_count_ = 0, updates_ = 0, servers_in_use_ = 0;
    double warm_weight_ = 1e-9;  // listed weight of the fleet when warm, falling slowly
};

}  // namespace headrouter
