/// Parses the bodies of the simulator's events into the types of the policy. Every function throws
/// ParseError, with the name of the field, if a field is missing or invalid.
#pragma once
#include <rapidjson/fwd.h>

#include <vector>

#include "base/parse_error.h"
#include "policy/balancing_policy.h"

namespace headrouter {

/// Parses a client's request; its class and tenant must be ones that `config` defines.
[[nodiscard]] Request parse_request(const rapidjson::Value& event, const PolicyConfig& config);

/// Parses the outcome of an attempt.
[[nodiscard]] AttemptOutcome parse_outcome(const rapidjson::Value& event);

/// Parses the load that a server reported with its answer; empty if it reported none.
[[nodiscard]] LoadReport parse_load_report(const rapidjson::Value& event);

/// Parses the kind of an endpoint update.
[[nodiscard]] EndpointUpdateKind parse_update_kind(const rapidjson::Value& event);

/// Parses the endpoints of an update; a failed update may have none.
[[nodiscard]] std::vector<Endpoint> parse_endpoints(const rapidjson::Value& event, EndpointUpdateKind);

}  // namespace headrouter
