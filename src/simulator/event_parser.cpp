#include "simulator/event_parser.h"

#include <cmath>

#include "config/json.h"

namespace headrouter {

using json::Json;

namespace {

Endpoint parse_endpoint(const Json& entry) {
    Endpoint endpoint;
    endpoint.server = json::text(entry, "server");
    endpoint.weight = json::real(entry, "units");
    if (!(endpoint.weight >= 0) || !std::isfinite(endpoint.weight))
        json::wrong("units", "a finite number not below 0");
    endpoint.state = json::one_of<EndpointState>(entry, "condition",
                                                 {{"active", EndpointState::active},
                                                  {"leaving", EndpointState::draining},
                                                  {"left", EndpointState::removed}});
    endpoint.zone = json::small_or_zero(entry, "failureDomain");
    endpoint.cell = json::small_or_zero(entry, "pod");
    const bool has_launch_time =
        json::find(entry, "launchedNs") != nullptr && json::integer(entry, "launchedNs") != 0;
    if (has_launch_time) endpoint.launched = TimePoint{json::integer(entry, "launchedNs")};
    return endpoint;
}

}  // namespace

Request parse_request(const rapidjson::Value& event, const PolicyConfig& config) {
    Request request;
    request.id = static_cast<RequestId>(json::natural(event, "ref"));
    request.type = json::small(event, "kind");
    if (request.type >= static_cast<int>(config.request_classes.size()))
        json::wrong("kind", "the index of one of the instance's traffic types");
    request.tenant = json::small_or_zero(event, "account");
    if (config.tenants > 0 && request.tenant >= config.tenants)
        json::wrong("account", "the index of one of the instance's tenants");
    request.is_reconnect = json::flag(event, "again");
    request.mid_stream = json::flag(event, "midFlow");
    request.key = json::text_or(event, "affinity", "");
    request.group = json::text_or(event, "room", "");
    if (json::find(event, "costNs")) request.hinted_load = Duration{json::natural(event, "costNs")};
    request.deadline = TimePoint{json::integer(event, "validUntilNs")};
    return request;
}

AttemptOutcome parse_outcome(const rapidjson::Value& event) {
    return json::one_of<AttemptOutcome>(event, "ending",
                                        {{"S", AttemptOutcome::completed},
                                         {"E", AttemptOutcome::error},
                                         {"F", AttemptOutcome::at_capacity},
                                         {"T", AttemptOutcome::timed_out},
                                         {"C", AttemptOutcome::connect_failed},
                                         {"R", AttemptOutcome::reset},
                                         {"X", AttemptOutcome::cancelled},
                                         {"N", AttemptOutcome::not_sent}});
}

LoadReport parse_load_report(const rapidjson::Value& event) {
    LoadReport report;
    if (!json::find(event, "report")) return report;
    const Json& fields = json::object(event, "report");
    if (json::find(fields, "x0")) report.load_share = json::real(fields, "x0");
    return report;
}

EndpointUpdateKind parse_update_kind(const rapidjson::Value& event) {
    return json::one_of<EndpointUpdateKind>(event, "mode",
                                            {{"Partial", EndpointUpdateKind::delta},
                                             {"Complete", EndpointUpdateKind::snapshot},
                                             {"Persisted", EndpointUpdateKind::cached},
                                             {"Error", EndpointUpdateKind::error}});
}

std::vector<Endpoint> parse_endpoints(const rapidjson::Value& event, EndpointUpdateKind kind) {
    std::vector<Endpoint> endpoints;
    if (kind == EndpointUpdateKind::error && !json::find(event, "lines")) return endpoints;
    for (const Json& entry : json::array(event, "lines").GetArray()) {
        if (!entry.IsObject()) json::wrong("lines", "an array of objects");
        endpoints.push_back(parse_endpoint(entry));
    }
    return endpoints;
}

}  // namespace headrouter
