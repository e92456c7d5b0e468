// What the tests share: a sink that writes down the actions, a view into a BalancingPolicy, and small
// builders.
#pragma once
#include <gtest/gtest.h>

#include <algorithm>
#include <utility>

#include "base/hash.h"
#include "policy/balancing_policy.h"

namespace headrouter {

struct Written : PolicyActions {
    struct Sent {
        RequestId request;
        ServerId server;
        Duration timeout;
    };
    std::vector<Sent> sent;
    std::vector<RequestId> rejected, released, moved;
    std::vector<std::pair<TimePoint, uint64_t>> timers;
    Duration advice;
    int asks = 0;
    void start_attempt(RequestId c, const ServerId& s, Duration t) override { sent.push_back({c, s, t}); }
    void reject(RequestId c, Duration a) override { rejected.push_back(c), advice = a; }
    void fail(RequestId c) override { released.push_back(c); }
    void migrate(RequestId c) override { moved.push_back(c); }
    void set_timer(TimePoint t, uint64_t token) override { timers.emplace_back(t, token); }
    void watch_endpoints() override { ++asks; }
    void send_gossip(int slot, const std::string& bytes) override { told.emplace_back(slot, bytes); }
    std::vector<std::pair<int, std::string>> told;
};

inline RequestState a_call_of_a_group(TimePoint now) {
    RequestState c;
    c.id = 1;
    c.deadline = now + seconds(2);
    c.group = "asked";
    return c;
}

struct Peek {
    BalancingPolicy& b;
    int index(const ServerId& id) { return b.servers_.find(id); }
    ServerState& server(const ServerId& id) { return b.servers_.servers_[b.servers_.index_.at(id)]; }
    RequestState& request(RequestId id) { return b.requests_.at(id); }
    bool holds(RequestId id) { return b.requests_.contains(id); }

    // A server's failures.
    double& recorded_penalty(const ServerId& id) { return server(id).outliers.failure_penalty_; }
    TimePoint& penalty_at(const ServerId& id) { return server(id).outliers.penalty_at_; }
    int& consecutive_failures(const ServerId& id) { return server(id).outliers.consecutive_failures_; }
    TimePoint& backoff_until(const ServerId& id) { return server(id).outliers.backoff_until_; }
    int& sent_in_cycle(const ServerId& id) { return server(id).outliers.sent_in_cycle_; }
    int& lost_in_cycle(const ServerId& id) { return server(id).outliers.lost_in_cycle_; }
    double failure_penalty(TimePoint t, const ServerId& id) { return server(id).outliers.failure_penalty(t); }
    void record_failure(TimePoint t, const ServerId& id) { b.servers_.record_failure(t, index(id), 1); }
    bool is_selectable(TimePoint t, const ServerId& id) { return ServerTable::is_selectable(t, server(id)); }

    // Its load, its limit and its slow start.
    double load(const ServerId& id) { return b.servers_.load_on(server(id)); }
    double load_limit(TimePoint t, const ServerId& id) {
        return b.servers_.rounded_load_limit(t, server(id));
    }
    double& recorded_limit(const ServerId& id) { return server(id).load_limit.limit_; }
    TimePoint& limited_at(const ServerId& id) { return server(id).load_limit.limited_at_; }
    double share(TimePoint t, const ServerId& id) {
        const FleetView fleet = b.shares_.view(t, nullptr);
        return b.shares_.share(fleet, index(id));
    }
    std::optional<TimePoint> started(const ServerId& id) { return server(id).slow_start.started(); }
    bool is_restart_expected(const ServerId& id) { return server(id).slow_start.is_restart_expected(); }

    // Rebalancing.
    void plan_migrations(TimePoint t) { b.rebalance_.plan_migrations(t); }
    void eject_outliers(TimePoint t) { b.rebalance_.eject_outliers(t); }
    RequestId select_migration(TimePoint t, const ServerId& id) {
        return b.rebalance_.select_migration(t, server(id));
    }
    SlidingWindow<6>& excess(const ServerId& id) { return server(id).drain.excess_; }
    double surplus(const ServerId& id) { return server(id).drain.remaining(); }
    bool& is_draining(const ServerId& id) { return server(id).drain.is_active_; }
    void record_failover(TimePoint t, const Request& c, const ServerId& id) {
        b.failovers_.record(t, c.key, index(id), false);
    }
    size_t keys() { return b.failovers_.entries_.size(); }

    std::vector<ServerId> subset(size_t n) {
        std::vector<ServerId> all;
        for (const ServerState& s : b.servers_.all()) all.push_back(s.endpoint.server);
        std::sort(all.begin(), all.end(), [&](const ServerId& x, const ServerId& y) {
            return b.placement_.subset_rank(index(x)) < b.placement_.subset_rank(index(y));
        });
        all.resize(n);
        return all;
    }
    double pooled(const ServerId& id) { return server(id).fleet_load; }
    double pool_total() { return b.gossip_.fleet_total(); }
    double pool_trust(TimePoint t) { return b.gossip_.trust(t); }
    bool room_for_group(TimePoint t, const ServerId& id) {
        const RequestState c = a_call_of_a_group(t);
        const FleetView fleet = b.shares_.view(t, &c);
        const PlacementContext context{t, c, fleet, b.servers_.load_of(c), -1, b.gossip_.trust(t)};
        return b.placement_.has_room(context, index(id), true);
    }
    static std::vector<std::pair<TimePoint, uint64_t>> due(Written& w) { return std::exchange(w.timers, {}); }
};

// A wall-clock point at the start of a term, so that balancing and pause are where a test expects them.
constexpr TimePoint term_start{1'000'000'000'000};

inline PolicyConfig deployment(Idempotency idempotency = Idempotency::idempotent,
                               DedupScope dedup_scope = DedupScope::all) {
    PolicyConfig d;
    d.request_classes = {{idempotency, dedup_scope, millis(300), seconds(2), seconds(5), millis(50)}};
    d.max_attempts = 4;
    d.slow_start_time = seconds(10);
    d.advises_retry_after = true;
    d.max_retry_after = seconds(2);
    d.step = millis(2);
    return d;
}

inline Endpoint listed(const ServerId& id, double weight = 1, int zone = 0, int cell = 0) {
    return Endpoint{id, weight, EndpointState::active, zone, cell, {}};
}

inline Request request(RequestId id, TimePoint now, const std::string& key = "",
                       const std::string& group = "") {
    Request c;
    c.id = id;
    c.deadline = now + seconds(2);
    c.key = key;
    c.group = group;
    return c;
}

struct Rig {
    Written w;
    BalancingPolicy b;
    Peek p{b};
    explicit Rig(const std::vector<Endpoint>& list, const PolicyConfig& d = deployment())
        : b(d, d.replica_index + 1, w, term_start) {
        b.on_endpoints(term_start, EndpointUpdateKind::snapshot, list);
    }
};

// One of many balancers: its number is also its seed.
inline PolicyConfig numbered(uint64_t slot) {
    PolicyConfig d = deployment();
    d.replica_index = slot;
    return d;
}

inline std::vector<Endpoint> some_servers(int n) {
    std::vector<Endpoint> all;
    for (int k = 0; k < n; ++k) all.push_back(listed(ServerId(1, static_cast<char>('A' + k)), 1 + k % 2));
    return all;
}

// Standing connections with ids from `first` on.
inline void stand(BalancingPolicy& b, TimePoint now, const ServerId& server, RequestId first, int n) {
    for (int k = 0; k < n; ++k) b.on_request_adopted(now, request(first + k, now), server);
}

}  // namespace headrouter

using namespace headrouter;
