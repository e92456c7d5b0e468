#include "discovery/reported_drains.h"

#include <algorithm>
#include <unordered_set>
#include <utility>

#include "discovery/propagation_allowance.h"

namespace headrouter {

namespace {

bool was_restarted(const Endpoint& endpoint, const std::optional<TimePoint>& launched_before) {
    return endpoint.launched && (!launched_before || *endpoint.launched > *launched_before);
}

}  // namespace

void ReportedDrains::change_address() {
    for (auto& [id, report] : reports_) report.is_of_earlier_address = true;
}

EndpointUpdate ReportedDrains::apply(EndpointUpdate update, TimePoint now) {
    if (update.is_snapshot) {
        held_.clear();
        record_missing(update, now);
    }
    for (EndpointUpdate::Entry& entry : update.entries) {
        held_.erase(entry.endpoint.server);
        if (const std::optional<TimePoint> until = held_until(entry.endpoint, now)) {
            held_[entry.endpoint.server] = {entry, *until};
            entry.endpoint.state = EndpointState::draining;
        } else {
            record(entry.endpoint, now);
        }
    }
    return update;
}

void ReportedDrains::record(const Endpoint& endpoint, TimePoint now) {
    Report& report = reports_[endpoint.server];
    const bool is_active = endpoint.state == EndpointState::active;
    if (report.is_active && !is_active) report.at = now;
    report.is_active = is_active;
    report.launched = endpoint.launched;
    report.is_of_earlier_address = false;
}

// An endpoint that a snapshot does not name is removed.
void ReportedDrains::record_missing(const EndpointUpdate& snapshot, TimePoint now) {
    std::unordered_set<ServerId> named;
    for (const EndpointUpdate::Entry& entry : snapshot.entries) named.insert(entry.endpoint.server);
    for (auto& [id, report] : reports_) {
        if (named.contains(id) || !report.is_active) continue;
        report.is_active = false;
        report.at = now;
    }
    std::erase_if(reports_, [&](const auto& entry) {
        return !named.contains(entry.first) && now - entry.second.at >= propagation_allowance;
    });
}

std::optional<TimePoint> ReportedDrains::held_until(const Endpoint& endpoint, TimePoint now) const {
    const auto found = reports_.find(endpoint.server);
    if (found == reports_.end() || endpoint.state != EndpointState::active) return std::nullopt;
    const Report& report = found->second;
    if (report.is_active || !report.is_of_earlier_address) return std::nullopt;
    // An address that lists the endpoint as active then knows of the drain and of its end.
    const TimePoint until = report.at + propagation_allowance;
    if (now >= until || was_restarted(endpoint, report.launched)) return std::nullopt;
    return until;
}

EndpointUpdate ReportedDrains::take_released(TimePoint now) {
    EndpointUpdate released;
    for (const auto& [id, held] : held_)
        if (now >= held.until) released.entries.push_back(held.entry);
    // Sorted, so that the order of events does not depend on the iteration order of the hash table.
    std::sort(released.entries.begin(), released.entries.end(),
              [](const EndpointUpdate::Entry& a, const EndpointUpdate::Entry& b) {
                  return a.endpoint.server < b.endpoint.server;
              });
    for (const EndpointUpdate::Entry& entry : released.entries) {
        held_.erase(entry.endpoint.server);
        record(entry.endpoint, now);
    }
    return released;
}

std::optional<TimePoint> ReportedDrains::next_release() const {
    std::optional<TimePoint> next;
    for (const auto& [id, held] : held_) next = next ? std::min(*next, held.until) : held.until;
    return next;
}

}  // namespace headrouter
