/// What tests of the policy share: actions that are recorded, a look into a BalancingPolicy, and builders of
/// configurations, endpoints and requests.
#pragma once
#include <gtest/gtest.h>

#include <algorithm>
#include <utility>

#include "base/hash.h"
#include "policy/balancing_policy.h"
#include "policy/timers.h"

namespace headrouter {

/// Records what a policy does, in the order in which it is done.
struct RecordingActions : PolicyActions {
    struct StartedAttempt {
        RequestId request;
        ServerId server;
        Duration timeout;
    };
    struct Timer {
        TimePoint due;
        uint64_t token;
        bool is(TimerKind kind) const { return kind_of_timer(token) == kind; }
    };
    struct PublishedGossip {
        int replica;  ///< to whom: a replica index or `everyone_else`
        std::string bytes;
    };

    std::vector<StartedAttempt> attempts;
    std::vector<RequestId> rejected;
    std::vector<RequestId> failed;
    std::vector<RequestId> migrated;
    std::vector<Timer> timers;
    Duration retry_after;  ///< of the last rejected request
    int watch_requests = 0;
    std::vector<PublishedGossip> gossip;

    void start_attempt(RequestId request, const ServerId& server, Duration timeout) override {
        attempts.push_back({request, server, timeout});
    }
    void reject(RequestId request, Duration after) override {
        rejected.push_back(request);
        retry_after = after;
    }
    void fail(RequestId request) override { failed.push_back(request); }
    void migrate(RequestId request) override { migrated.push_back(request); }
    void set_timer(TimePoint due, uint64_t token) override { timers.push_back({due, token}); }
    void watch_endpoints() override { ++watch_requests; }
    void send_gossip(int replica, const std::string& bytes) override { gossip.push_back({replica, bytes}); }

    /// The timers set since the last call.
    std::vector<Timer> take_timers() { return std::exchange(timers, {}); }
};

inline RequestState make_group_request(TimePoint now) {
    RequestState request;
    request.id = 1;
    request.deadline = now + seconds(2);
    request.group = "asked";
    return request;
}

/// Reads and sets the state of a policy's components.
struct PolicyInspector {
    BalancingPolicy& policy;
    ServerIndex index(const ServerId& id) { return policy.servers_.find(id).value(); }
    ServerState& server(const ServerId& id) { return policy.servers_[index(id)]; }
    RequestState& request(RequestId id) { return policy.requests_.at(id); }
    bool has_request(RequestId id) { return policy.requests_.contains(id); }

    // A server's failures.
    double& recorded_penalty(const ServerId& id) { return server(id).outliers.failure_penalty_; }
    TimePoint& penalty_at(const ServerId& id) { return server(id).outliers.penalty_at_; }
    int& consecutive_failures(const ServerId& id) { return server(id).outliers.consecutive_failures_; }
    TimePoint& backoff_until(const ServerId& id) { return server(id).outliers.backoff_until_; }
    int& sent_in_cycle(const ServerId& id) { return server(id).outliers.sent_in_cycle_; }
    int& lost_in_cycle(const ServerId& id) { return server(id).outliers.lost_in_cycle_; }
    double failure_penalty(TimePoint now, const ServerId& id) {
        return server(id).outliers.failure_penalty(now);
    }
    void record_failure(TimePoint now, const ServerId& id) {
        policy.health_.record_failure(now, index(id), 1);
    }
    bool is_selectable(TimePoint now, const ServerId& id) {
        return eligibility::is_selectable(now, server(id));
    }

    // Its load, its limit and its slow start.
    double load(const ServerId& id) { return policy.loads_.load_on(server(id)); }
    double load_limit(TimePoint now, const ServerId& id) {
        return policy.loads_.rounded_load_limit(now, server(id)).value();
    }
    bool has_load_limit(TimePoint now, const ServerId& id) {
        return policy.loads_.rounded_load_limit(now, server(id)).has_value();
    }
    std::optional<double>& recorded_limit(const ServerId& id) { return server(id).load_limit.limit_; }
    TimePoint& limited_at(const ServerId& id) { return server(id).load_limit.limited_at_; }
    double share(TimePoint now, const ServerId& id) {
        const FleetView fleet = policy.shares_.view(now, nullptr);
        return policy.shares_.share(fleet, index(id));
    }
    std::optional<TimePoint> started(const ServerId& id) { return server(id).slow_start.started(); }
    bool is_restart_expected(const ServerId& id) { return server(id).slow_start.is_restart_expected(); }

    // Rebalancing.
    void plan_migrations(TimePoint now) { policy.rebalance_.plan_migrations(now); }
    void eject_outliers(TimePoint now) { policy.rebalance_.eject_outliers(now); }
    RequestId select_migration(TimePoint now, const ServerId& id) {
        return policy.rebalance_.select_migration(now, server(id));
    }
    SlidingWindow<6>& excess(const ServerId& id) { return server(id).drain.excess_; }
    double surplus(const ServerId& id) { return server(id).drain.remaining(); }
    bool& is_draining(const ServerId& id) { return server(id).drain.is_active_; }
    void record_failover(TimePoint now, const Request& request, const ServerId& id) {
        policy.failovers_.record(now, request.key, index(id), false);
    }
    size_t recorded_failovers() { return policy.failovers_.state().entries.size(); }

    /// The first `size` servers of this replica's deterministic subsetting order.
    std::vector<ServerId> subset(size_t size) {
        std::vector<ServerId> servers;
        for (const ServerState& server : policy.servers_.all()) servers.push_back(server.endpoint.server);
        std::sort(servers.begin(), servers.end(), [&](const ServerId& left, const ServerId& right) {
            return policy.placement_.subset_rank(index(left)) < policy.placement_.subset_rank(index(right));
        });
        servers.resize(size);
        return servers;
    }

    // What gossip brought.
    double fleet_load(const ServerId& id) { return server(id).fleet_load; }
    double fleet_total() { return policy.gossip_.fleet_total(); }
    double fleet_trust(TimePoint now) { return policy.gossip_.trust(now); }
    bool has_room_for_group(TimePoint now, const ServerId& id) {
        const RequestState request = make_group_request(now);
        const FleetView fleet = policy.shares_.view(now, &request);
        const PlacementContext context{
            now, request, fleet, policy.loads_.load_of(request), {}, policy.gossip_.trust(now)};
        return policy.placement_.has_room(context, index(id), true);
    }
};

/// The start of a rebalance cycle, so that its active phase and its pause are where a test expects them.
constexpr TimePoint cycle_start{1'000'000'000'000};

/// One request class and no gossip.
inline PolicyConfig make_config(Idempotency idempotency = Idempotency::idempotent,
                                DedupScope dedup_scope = DedupScope::all) {
    PolicyConfig config;
    config.request_classes = {{idempotency, dedup_scope, millis(300), seconds(2), seconds(5), millis(50)}};
    config.max_attempts = 4;
    config.slow_start_time = seconds(10);
    config.advises_retry_after = true;
    config.max_retry_after = seconds(2);
    config.step = millis(2);
    return config;
}

/// The configuration of one of many balancers. Its index is also its seed.
inline PolicyConfig make_replica_config(uint64_t replica_index) {
    PolicyConfig config = make_config();
    config.replica_index = replica_index;
    return config;
}

inline Endpoint make_endpoint(const ServerId& id, double weight = 1, int zone = 0, int cell = 0) {
    return Endpoint{id, weight, EndpointState::active, zone, cell, {}};
}

/// Servers "A", "B", ... of weights 1, 2, 1, 2, ...
inline std::vector<Endpoint> make_endpoints(int count) {
    std::vector<Endpoint> endpoints;
    for (int k = 0; k < count; ++k)
        endpoints.push_back(make_endpoint(ServerId(1, static_cast<char>('A' + k)), 1 + k % 2));
    return endpoints;
}

inline Request make_request(RequestId id, TimePoint now, const std::string& key = "",
                            const std::string& group = "") {
    Request request;
    request.id = id;
    request.deadline = now + seconds(2);
    request.key = key;
    request.group = group;
    return request;
}

/// A policy that has had its endpoint list, with its recorded actions and a look into it.
struct PolicyFixture {
    RecordingActions actions;
    BalancingPolicy policy;
    PolicyInspector inspector{policy};
    explicit PolicyFixture(const std::vector<Endpoint>& endpoints, const PolicyConfig& config = make_config())
        : policy(config, config.replica_index + 1, actions, cycle_start) {
        policy.on_endpoints(cycle_start, EndpointUpdateKind::snapshot, endpoints);
    }
};

/// Lets `policy` adopt `count` established connections on `server`, with ids from `first` on.
inline void adopt_connections(BalancingPolicy& policy, TimePoint now, const ServerId& server, RequestId first,
                              int count) {
    for (int k = 0; k < count; ++k) policy.on_request_adopted(now, make_request(first + k, now), server);
}

}  // namespace headrouter

using namespace headrouter;
