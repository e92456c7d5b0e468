#include "discovery/endpoint_update.h"

#include <algorithm>
#include <cmath>

namespace headrouter {

using namespace json;

namespace {

/// Returns the index of the zone that `entry` names; one past the last index if that zone is not configured.
int zone_index(const Json& entry, const ClusterConfig& config) {
    const auto zone =
        std::find(config.zone_names.begin(), config.zone_names.end(), text_or(entry, "zone", ""));
    return static_cast<int>(zone - config.zone_names.begin());
}

EndpointState read_state(const Json& entry) {
    return one_of<EndpointState>(entry, "lifecycle",
                                 {{"SERVING", EndpointState::active},
                                  {"DRAINING", EndpointState::draining},
                                  {"DELETED", EndpointState::removed}});
}

double read_weight(const Json& entry) {
    if (!find(entry, "weight")) return Endpoint{}.weight;
    const double weight = real(entry, "weight");
    if (!(weight >= 0) || !std::isfinite(weight)) wrong("weight", "a number from 0 on");
    return weight;
}

std::optional<TimePoint> read_start_time(const Json& entry, const Clock& clock) {
    if (!find(entry, "startedAtMs")) return std::nullopt;
    const int64_t started_at_ms = natural(entry, "startedAtMs");
    if (started_at_ms == 0) return std::nullopt;
    return clock.from_unix_ms(started_at_ms);
}

Endpoint read_endpoint(const Json& entry, const ClusterConfig& config, const Clock& clock) {
    if (!entry.IsObject()) wrong("instances", "an array of objects");
    Endpoint endpoint;
    endpoint.server = text(entry, "instanceId");
    if (endpoint.server.empty()) wrong("instanceId", "an id");
    endpoint.state = read_state(entry);
    endpoint.weight = read_weight(entry);
    endpoint.zone = zone_index(entry, config);
    endpoint.cell = small_or_zero(entry, "cell");
    endpoint.launched = read_start_time(entry, clock);
    return endpoint;
}

EndpointUpdate::Entry read_entry(const Json& entry, const ClusterConfig& config, const Clock& clock) {
    Endpoint endpoint = read_endpoint(entry, config, clock);
    const std::optional<Address> address = Address::from(text_or(entry, "hostPort", ""));
    return {std::move(endpoint), address};
}

}  // namespace

std::vector<Endpoint> EndpointUpdate::endpoints() const {
    std::vector<Endpoint> all;
    all.reserve(entries.size());
    for (const Entry& entry : entries) all.push_back(entry.endpoint);
    return all;
}

EndpointUpdate parse_endpoint_update(const Json& answer, const ClusterConfig& config, const Clock& clock) {
    if (!answer.IsObject()) throw ParseError("the list is not an object");
    EndpointUpdate update;
    update.version = integer(answer, "generation");
    update.is_snapshot = flag(answer, "reset");
    for (const Json& entry : array(answer, "instances").GetArray()) {
        try {
            update.entries.push_back(read_entry(entry, config, clock));
        } catch (const ParseError&) {
            ++update.unreadable_entries;
        }
    }
    return update;
}

EndpointUpdate parse_endpoint_update(const std::string& body, const ClusterConfig& config,
                                     const Clock& clock) {
    rapidjson::Document document;
    parse(document, body);
    return parse_endpoint_update(static_cast<const Json&>(document), config, clock);
}

}  // namespace headrouter
