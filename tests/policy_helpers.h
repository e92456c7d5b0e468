/// Provides shared test helpers for the policy: recorded actions, access to the state of a BalancingPolicy,
/// and builders of configurations, endpoints and requests.
#pragma once
#include <gtest/gtest.h>

#include <algorithm>
#include <utility>

#include "base/hash.h"
#include "policy/balancing_policy.h"
#include "policy/timers.h"

namespace headrouter {

/// Records the actions of a policy in the order of the calls.
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
        int replica;  ///< receiver: a replica index or `all_other_replicas`
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

    /// Returns the timers set since the last call.
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
    ServerIndex index(const ServerId& id) { return policy.parts().servers.find(id).value(); }
    ServerState& server(const ServerId& id) { return policy.parts().servers[index(id)]; }
    RequestState& request(RequestId id) { return policy.parts().requests.at(id); }
    bool has_request(RequestId id) { return policy.parts().requests.contains(id); }

    // Failures of a server.
    OutlierDetector::State outliers(const ServerId& id) { return server(id).outliers.state(); }
    void set_outliers(const ServerId& id, const OutlierDetector::State& state) {
        server(id).outliers.restore(state);
    }
    double failure_penalty(TimePoint now, const ServerId& id) {
        return server(id).outliers.failure_penalty(now);
    }
    void record_failure(TimePoint now, const ServerId& id) {
        policy.parts().health.record_failure(now, index(id), 1);
    }
    bool is_selectable(TimePoint now, const ServerId& id) {
        return eligibility::is_selectable(now, server(id));
    }

    // Load, load limit and slow start of a server.
    double load(const ServerId& id) { return policy.parts().loads.load_on(server(id)); }
    double load_limit(TimePoint now, const ServerId& id) {
        return policy.parts().loads.rounded_load_limit(now, server(id)).value();
    }
    bool has_load_limit(TimePoint now, const ServerId& id) {
        return policy.parts().loads.rounded_load_limit(now, server(id)).has_value();
    }
    void set_load_limit(const ServerId& id, TimePoint now, double limit) {
        LoadLimit::State state = server(id).load_limit.state();
        state.limit = limit;
        state.limited_at = now;
        server(id).load_limit.restore(state);
    }
    double share(TimePoint now, const ServerId& id) {
        const FleetView fleet = policy.parts().shares.view(now, nullptr);
        return policy.parts().shares.share(fleet, index(id));
    }
    std::optional<TimePoint> started(const ServerId& id) { return server(id).slow_start.started(); }
    bool is_restart_expected(const ServerId& id) { return server(id).slow_start.is_restart_expected(); }

    // Rebalancing.
    void plan_migrations(TimePoint now) { policy.parts().rebalance.plan_migrations(now); }
    void eject_outliers(TimePoint now) { policy.parts().rebalance.eject_outliers(now); }
    RequestId select_migration(TimePoint now, const ServerId& id) {
        return policy.parts().rebalance.select_migration(now, server(id));
    }
    void raise_excess(const ServerId& id, TimePoint now, double excess) {
        SurplusDrain::State state = server(id).drain.state();
        state.excess.raise_to(now, excess);
        server(id).drain.restore(state);
    }
    double largest_excess(const ServerId& id, TimePoint now) {
        SurplusDrain::State state = server(id).drain.state();
        return state.excess.max_bucket(now);
    }
    double surplus(const ServerId& id) { return server(id).drain.remaining(); }
    bool is_draining(const ServerId& id) { return server(id).drain.state().is_active; }
    void end_drain(const ServerId& id) {
        SurplusDrain::State state = server(id).drain.state();
        state.is_active = false;
        server(id).drain.restore(state);
    }
    void record_failover(TimePoint now, const Request& request, const ServerId& id) {
        policy.parts().failovers.record(now, request.key, index(id), false);
    }
    size_t recorded_failovers() { return policy.parts().failovers.state().entries.size(); }

    /// Returns the first `size` servers of this replica's deterministic subsetting order.
    std::vector<ServerId> subset(size_t size) {
        std::vector<ServerId> servers;
        for (const ServerState& server : policy.parts().servers.all())
            servers.push_back(server.endpoint.server);
        std::sort(servers.begin(), servers.end(), [&](const ServerId& left, const ServerId& right) {
            return policy.parts().placement.subset_rank(index(left)) <
                   policy.parts().placement.subset_rank(index(right));
        });
        servers.resize(size);
        return servers;
    }

    // State received by gossip.
    double fleet_load(const ServerId& id) { return server(id).fleet_load; }
    double fleet_total() { return policy.parts().gossip.fleet_total(); }
    double fleet_trust(TimePoint now) { return policy.parts().gossip.trust(now); }
    bool has_room_for_group(TimePoint now, const ServerId& id) {
        const RequestState request = make_group_request(now);
        const FleetView fleet = policy.parts().shares.view(now, &request);
        const PlacementContext context{
            now, request, fleet, policy.parts().loads.load_of(request), {}, policy.parts().gossip.trust(now)};
        return policy.parts().placement.has_room(context, index(id), true);
    }
};

/// Start of a rebalance cycle, so that its active phase and its pause are at known times in tests.
constexpr TimePoint cycle_start{1'000'000'000'000};

/// Returns a configuration with one request class and without gossip.
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

/// Returns the configuration of one of many balancers. PolicyFixture derives its random seed from the index.
inline PolicyConfig make_replica_config(uint64_t replica_index) {
    PolicyConfig config = make_config();
    config.replica_index = replica_index;
    return config;
}

inline Endpoint make_endpoint(const ServerId& id, double weight = 1, int zone = 0, int cell = 0) {
    return Endpoint{id, weight, EndpointState::active, zone, cell, {}};
}

/// Returns servers "A", "B", ... with weights 1, 2, 1, 2, ...
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

/// Holds a policy that has received its endpoint list, with its recorded actions and an inspector of its
/// state.
struct PolicyFixture {
    RecordingActions actions;
    BalancingPolicy policy;
    PolicyInspector inspector{policy};
    explicit PolicyFixture(const std::vector<Endpoint>& endpoints, const PolicyConfig& config = make_config())
        : policy(config, config.replica_index + 1, actions, cycle_start) {
        policy.on_endpoints(cycle_start, EndpointUpdateKind::snapshot, endpoints);
    }
};

/// Makes `policy` adopt `count` established connections on `server`, with ids starting at `first`.
inline void adopt_connections(BalancingPolicy& policy, TimePoint now, const ServerId& server, RequestId first,
                              int count) {
    for (int k = 0; k < count; ++k) policy.on_request_adopted(now, make_request(first + k, now), server);
}

}  // namespace headrouter

using namespace headrouter;
