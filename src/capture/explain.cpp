#include "capture/explain.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <sstream>
#include <utility>

#include "capture/action_recorder.h"
#include "capture/event_text.h"
#include "capture/policy_visits.h"

namespace headrouter {

// On a copy: a look forgets servers that are usual again, and the one that plays on must not be the one
// looked at.
std::string StateAccess::fleet_in_words(BalancingPolicy& live, TimePoint now, const RequestState& request) {
    capture::ActionRecorder nobody;
    PolicyConfig any;
    any.request_classes.resize(1);
    BalancingPolicy b(any, 0, nobody, TimePoint{});
    capture::restore(b, capture::state_of(live));
    const FleetView fleet = b.shares_.view(now, &request);
    std::ostringstream o;
    char line[200];
    std::snprintf(line, sizeof line,
                  "  own load %.2f with it, %d servers may take it, %d of them at their ceilings%s\n",
                  fleet.total_load, fleet.open_servers, fleet.slow_servers,
                  fleet.is_mostly_slow ? "; much of the fleet is slow" : "");
    o << line;
    std::snprintf(line, sizeof line, "  %-14s %8s %8s %9s %9s %7s %6s  %s\n", "server", "load", "share",
                  "ceiling", "distrust", "warm", "calls", "");
    o << line;
    const ServerTable& servers = b.servers_;
    for (const ServerIndex index : servers.indexes()) {
        const ServerState& s = servers[index];
        const EndpointState state = s.endpoint.state;
        if (state == EndpointState::removed && s.connections.empty()) continue;
        const FleetView::DegradedServer* degraded =
            s.degraded_index ? &fleet.degraded[*s.degraded_index] : nullptr;
        const double load = b.loads_.load_on(s);
        std::optional<double> load_limit;
        if (degraded) load_limit = degraded->load_limit;
        std::string why;
        const auto add = [&](const char* w) { why += (why.empty() ? "" : ", ") + std::string(w); };
        if (state == EndpointState::draining) add("drains");
        if (state == EndpointState::removed) add("gone from the list");
        if (index == fleet.excluded_server) add("its last leg failed here");
        if (s.outliers.is_ejected(now)) add("out of the shares for terms");
        if (s.outliers.is_in_backoff(now)) add("skipped after failures");
        if (s.outliers.is_failing() && s.pending_attempts > 0) add("failing: one leg at a time");
        if (b.warmup_.is_cold(now, s)) add("cold");
        if (degraded && degraded->is_counted && !degraded->is_open) add("cold budget spent");
        if (load_limit && load > *load_limit) add("over its ceiling");
        char limit[24] = "-";
        if (load_limit) std::snprintf(limit, sizeof limit, "%.2f", *load_limit);
        std::snprintf(line, sizeof line, "  %-14s %8.2f %8.2f %9s %9.2f %7.2f %6zu  ",
                      s.endpoint.server.c_str(), load, b.shares_.share(fleet, index), limit,
                      s.outliers.failure_penalty(now), b.warmup_.slow_start_factor(now, s),
                      s.connections.size());
        o << line << why << "\n";
    }
    return o.str();
}

namespace capture {

namespace {

bool concerns(const RecordedAction& action, RequestId request_id) { return action.request_id == request_id; }

bool concerns(const RecordedEvent& event, RequestId request_id) {
    if (event.request_id == request_id || event.request.id == request_id) return true;
    return std::any_of(event.actions.begin(), event.actions.end(),
                       [&](const RecordedAction& action) { return concerns(action, request_id); });
}

// Whether the policy decided where the request goes, or that it goes nowhere.
bool decides_on(const RecordedEvent& event, RequestId request_id) {
    return std::any_of(event.actions.begin(), event.actions.end(), [&](const RecordedAction& action) {
        return concerns(action, request_id) && action.kind != RecordedAction::Kind::migrate;
    });
}

std::string describe_fleet_before(BalancingPolicy& policy, const RecordedEvent& event, RequestId request_id) {
    if (!decides_on(event, request_id)) return "";
    if (StateAccess::holds(policy, request_id))
        return describe_fleet(policy, event.at, StateAccess::request(policy, request_id));
    const bool is_new = event.request.id == request_id;
    return is_new ? describe_fleet(policy, event.at, RequestState(event.request)) : "";
}

}  // namespace

std::string describe_fleet(BalancingPolicy& policy, TimePoint now, const RequestState& request) {
    return StateAccess::fleet_in_words(policy, now, request);
}

Explanation explain(const std::vector<std::string>& paths, RequestId request_id) {
    std::ostringstream text;
    std::string fleet;  // as the policy knew it before the event
    ReplayObserver observer;
    observer.before_event = [&](ReplayedPolicy& replayed, const RecordedEvent& event) {
        if (concerns(event, request_id)) fleet = describe_fleet_before(replayed.policy(), event, request_id);
        return true;
    };
    observer.after_event = [&](const RecordedEvent& event, const std::vector<RecordedAction>& actions) {
        if (!concerns(event, request_id)) return true;
        std::array<char, 32> at{};
        std::snprintf(at.data(), at.size(), "%.3f s  ", to_seconds(event.at - TimePoint{}));
        text << at.data() << describe(event) << "\n" << fleet;
        for (const RecordedAction& action : actions)
            if (concerns(action, request_id)) text << "  -> " << describe(action) << "\n";
        return true;
    };
    ReplayResult result = replay(paths, observer);
    return {std::move(result), text.str()};
}

}  // namespace capture
}  // namespace headrouter
