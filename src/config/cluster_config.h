/// Parses the platform's settings into typed configuration: the configuration of the balancing policy, and
/// the names and times that only the proxy needs.
#pragma once
#include <rapidjson/fwd.h>

#include <optional>
#include <string>
#include <vector>

#include "base/parse_error.h"
#include "policy/balancing_policy.h"

namespace headrouter {

/// Holds the settings of one balancer. The policy identifies request classes, tenants and zones only by
/// number, which is an index into the list of names here. An empty name marks an entry that the settings no
/// longer contain.
struct ClusterConfig {
    PolicyConfig policy;
    std::vector<std::string> request_class_names;
    std::vector<std::string> tenant_names;
    std::vector<std::string> zone_names;
    /// Whether servers report the latency of messages in addition to their load.
    bool reports_latency = false;
    /// Time after which an attempt without an established connection fails; zero: no separate limit.
    Duration connect_timeout;
    /// Longest time between two polls of discovery: a balancer that has not polled for this long is assumed
    /// to know the endpoint list. Zero: not set.
    Duration max_poll_interval;
    /// Time for which requests may still be sent to an endpoint after its drain counts as known; nothing if
    /// the settings have no limit.
    std::optional<Duration> drain_grace;
};

/// Parses the JSON object of settings that the platform passes to a balancer at its start.
/// Throws ParseError with the name of the missing or invalid field.
[[nodiscard]] ClusterConfig parse_cluster_config(const std::string& settings);

/// Parses only the configuration of the policy from the same JSON object. Throws ParseError.
[[nodiscard]] PolicyConfig parse_policy_config(const rapidjson::Value& settings);

/// Returns the configuration to use after a reload. Open requests and listed servers hold indices into the
/// running configuration, so each name keeps its index: a removed name is replaced by an empty one, and a new
/// name is appended.
[[nodiscard]] ClusterConfig with_stable_indices(const ClusterConfig& running, const ClusterConfig& reloaded);

}  // namespace headrouter
