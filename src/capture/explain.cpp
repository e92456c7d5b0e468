#include "capture/explain.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <sstream>
#include <utility>

#include "capture/event_text.h"
#include "capture/fleet_description.h"

namespace headrouter::capture {

namespace {

bool concerns(const RecordedAction& action, RequestId request_id) { return action.request_id == request_id; }

bool concerns(const RecordedEvent& event, RequestId request_id) {
    if (event.request_id == request_id || event.request.id == request_id) return true;
    return std::any_of(event.actions.begin(), event.actions.end(),
                       [&](const RecordedAction& action) { return concerns(action, request_id); });
}

// Returns whether the policy, on this event, acted on the request in any way but to migrate it: chose a
// server, rejected the request or failed it.
bool decides_on(const RecordedEvent& event, RequestId request_id) {
    return std::any_of(event.actions.begin(), event.actions.end(), [&](const RecordedAction& action) {
        return concerns(action, request_id) && action.kind != RecordedAction::Kind::migrate;
    });
}

std::string describe_fleet_before(BalancingPolicy& policy, const RecordedEvent& event, RequestId request_id) {
    if (!decides_on(event, request_id)) return "";
    const RequestTable& requests = policy.parts().requests;
    const auto known = requests.find(request_id);
    if (known != requests.end()) return describe_fleet(policy, event.at, known->second);
    const bool is_new = event.request.id == request_id;
    return is_new ? describe_fleet(policy, event.at, RequestState(event.request)) : "";
}

}  // namespace

Explanation explain(const std::vector<std::string>& paths, RequestId request_id) {
    std::ostringstream text;
    std::string fleet;  // the policy's view of the fleet before the event
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

}  // namespace headrouter::capture
