#include "config/cluster_config.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <optional>

#include "config/json.h"

namespace headrouter {

using json::Json;

namespace {

constexpr double max_tenant_quota = 1e9;        // connections
constexpr double max_overload_multiple = 1000;  // multiple of the capacity of a server in slow start
constexpr int max_replicas = 4095;  // balancers; a replica index is sent in three hexadecimal digits

/// Fields of the slow start invariant, which must be either all present or all absent.
constexpr std::array slow_start_rule_fields{"fallMultiple", "fallNs", "coldShare"};

RequestClass parse_request_class(const Json& entry) {
    RequestClass request_class;
    request_class.idempotency = json::one_of<Idempotency>(entry, "effect",
                                                          {{"pure", Idempotency::idempotent},
                                                           {"token", Idempotency::keyed},
                                                           {"side_effect", Idempotency::non_idempotent}});
    if (json::find(entry, "keyScope"))
        request_class.dedup_scope = json::one_of<DedupScope>(
            entry, "keyScope",
            {{"all", DedupScope::all}, {"zone", DedupScope::zone}, {"cell", DedupScope::cell}});
    request_class.setup_objective = json::span(entry, "setupTargetNs");
    request_class.deadline = json::span(entry, "guardTimeNs");
    request_class.dedup_window = json::span_or_zero(entry, "windowNs");
    return request_class;
}

/// Sets the message latency objective of each request class, in order. The list may be shorter than
/// `classes`; the remaining classes keep theirs.
void apply_message_objectives(const Json& domain, std::vector<RequestClass>& classes) {
    if (!json::find(domain, "messageAimNs")) return;
    const Json& objectives = json::array(domain, "messageAimNs");
    const size_t count = std::min<size_t>(classes.size(), objectives.Size());
    for (size_t k = 0; k < count; ++k) {
        const Json& objective = objectives[static_cast<rapidjson::SizeType>(k)];
        if (!objective.IsInt64()) json::wrong("messageAimNs", "a list of whole numbers");
        classes[k].message_objective = Duration{objective.GetInt64()};
    }
}

std::vector<RequestClass> parse_request_classes(const Json& settings, const Json& domain) {
    std::vector<RequestClass> classes;
    for (const Json& entry : json::array(settings, "trafficTypes").GetArray()) {
        if (!entry.IsObject()) json::wrong("trafficTypes", "an array of objects");
        classes.push_back(parse_request_class(entry));
    }
    if (classes.empty()) json::wrong("trafficTypes", "a list with at least one traffic type");
    apply_message_objectives(domain, classes);
    return classes;
}

/// Returns the sum of all tenants' quotas, in connections; zero, meaning no quota, if any tenant has none.
double parse_total_quota(const Json& quotas) {
    double total = 0;
    bool is_complete = true;
    for (const Json& quota : quotas.GetArray()) {
        if (quota.IsNull()) {
            is_complete = false;
            continue;
        }
        if (!quota.IsNumber() || !(quota.GetDouble() >= 0 && quota.GetDouble() <= max_tenant_quota))
            json::wrong("tenantQuotaConnections", "a list of numbers from 0 to 1000000000, or null");
        total += quota.GetDouble();
    }
    return is_complete ? total : 0;
}

void parse_limits(const Json& ceilings, PolicyConfig& policy) {
    policy.max_attempts = json::small(ceilings, "maxLegs");
    policy.advises_retry_after = json::flag_or(ceilings, "retryAfter", false);
    policy.max_retry_after = json::span_or_zero(ceilings, "maxRetryAfterNs");
    policy.gossip_enabled = json::flag_or(ceilings, "peers", false);
}

void parse_slow_start(const Json& invariants, PolicyConfig& policy) {
    policy.slow_start_time = json::span(invariants, "coldNs");
    if (json::find(invariants, "fallMultiple"))
        policy.overload_multiple = json::real(invariants, "fallMultiple");
    if (!(policy.overload_multiple >= 1 && policy.overload_multiple <= max_overload_multiple))
        json::wrong("fallMultiple", "a number from 1 to 1000");
    if (json::find(invariants, "fallNs")) policy.overload_window = json::span(invariants, "fallNs");
    if (policy.overload_window.ns <= 0) json::wrong("fallNs", "a time above 0");
}

void parse_domain(const Json& domain, PolicyConfig& policy) {
    policy.passthrough = json::text_or(domain, "mode", "proxy") == "pass";
    policy.groups = json::flag_or(domain, "groups", false);
    policy.parked_connection_lifetime = json::span_or_zero(domain, "parkNs");
    if (json::find(domain, "tenantQuotaConnections"))
        policy.quota = parse_total_quota(json::array(domain, "tenantQuotaConnections"));
}

void parse_replicas(const Json& settings, PolicyConfig& policy) {
    policy.replica_index = static_cast<uint64_t>(json::small_or_zero(settings, "slotNo"));
    if (json::find(settings, "groupSize")) policy.replica_count = json::small(settings, "groupSize");
    if (policy.replica_count < 1 || policy.replica_count > max_replicas)
        json::wrong("groupSize", "a number of balancers from 1 to 4095");
    if (policy.gossip_enabled && policy.replica_index >= static_cast<uint64_t>(policy.replica_count))
        json::wrong("slotNo", "a number below groupSize where ceilings.peers enables gossip");
    const bool is_alone = policy.replica_count == 1;
    if (is_alone) policy.gossip_enabled = false;
}

std::vector<std::string> parse_class_names(const Json& settings) {
    std::vector<std::string> names;
    for (const Json& entry : json::array(settings, "trafficTypes").GetArray())
        names.push_back(json::text_or(entry, "name", ""));
    return names;
}

std::vector<std::string> parse_tenant_names(const Json& settings) {
    std::vector<std::string> names;
    if (!json::find(settings, "realms")) return names;
    for (const Json& entry : json::array(settings, "realms").GetArray()) {
        if (!entry.IsObject()) json::wrong("realms", "an array of objects");
        names.push_back(json::text_or(entry, "name", ""));
    }
    return names;
}

std::vector<std::string> parse_zone_names(const Json& settings) {
    std::vector<std::string> names;
    if (!json::find(settings, "failureDomains")) return names;
    for (const Json& name : json::array(settings, "failureDomains").GetArray()) {
        if (!name.IsString()) json::wrong("failureDomains", "an array of names");
        names.emplace_back(name.GetString(), name.GetStringLength());
    }
    return names;
}

void check_slow_start_rule(const Json& invariants) {
    const auto is_set = [&](const char* field) { return json::find(invariants, field) != nullptr; };
    if (std::none_of(slow_start_rule_fields.begin(), slow_start_rule_fields.end(), is_set)) return;
    for (const char* field : slow_start_rule_fields)
        if (!is_set(field))
            throw ParseError(std::string("field '") + field +
                             "' is missing, although other fields of the slow start rule are set");
    const double share = json::real(invariants, "coldShare");
    if (!(share > 0 && share <= 1)) json::wrong("coldShare", "a number above 0 and up to 1");
    if (json::integer(invariants, "fallNs") <= 0) json::wrong("fallNs", "a time above 0");
}

std::optional<size_t> index_of(const std::vector<std::string>& names, const std::string& name) {
    const auto it = std::find(names.begin(), names.end(), name);
    if (it == names.end()) return std::nullopt;
    return static_cast<size_t>(it - names.begin());
}

std::vector<std::string> with_stable_indices(std::vector<std::string> names,
                                             const std::vector<std::string>& reloaded) {
    for (std::string& name : names)
        if (!index_of(reloaded, name)) name.clear();
    for (const std::string& name : reloaded)
        if (!index_of(names, name)) names.push_back(name);
    return names;
}

}  // namespace

PolicyConfig parse_policy_config(const rapidjson::Value& settings) {
    const Json empty(rapidjson::kObjectType);
    const Json& domain = json::find(settings, "domain") ? json::object(settings, "domain") : empty;
    const Json& ceilings = json::object(settings, "ceilings");
    const Json& invariants = json::object(settings, "invariants");
    PolicyConfig policy;
    policy.request_classes = parse_request_classes(settings, domain);
    if (json::find(settings, "realms"))
        policy.tenants = static_cast<int>(json::array(settings, "realms").Size());
    policy.zone = json::small_or_zero(settings, "az");
    if (json::find(settings, "charges") && json::find(json::object(settings, "charges"), "crossZone"))
        policy.cross_zone_cost = json::real(json::object(settings, "charges"), "crossZone");
    parse_limits(ceilings, policy);
    policy.polls_endpoints = json::one_of<bool>(settings, "discovery", {{"push", false}, {"ask", true}});
    policy.step = json::span_or_zero(settings, "stepNs");
    parse_domain(domain, policy);
    parse_slow_start(invariants, policy);
    parse_replicas(settings, policy);
    return policy;
}

ClusterConfig parse_cluster_config(const std::string& settings) {
    rapidjson::Document document;
    json::parse(document, settings);
    if (!document.IsObject()) throw ParseError("the settings are not an object");
    ClusterConfig config;
    config.policy = parse_policy_config(document);
    config.request_class_names = parse_class_names(document);
    config.tenant_names = parse_tenant_names(document);
    config.zone_names = parse_zone_names(document);
    if (json::find(document, "domain"))
        config.reports_latency = json::flag_or(json::object(document, "domain"), "tellsDelay", false);
    const Json& invariants = json::object(document, "invariants");
    check_slow_start_rule(invariants);
    config.connect_timeout = json::span_or_zero(json::object(document, "ceilings"), "dialTimeoutNs");
    config.max_poll_interval = json::span_or_zero(invariants, "askEveryNs");
    if (json::find(invariants, "drainGraceNs")) config.drain_grace = json::span(invariants, "drainGraceNs");
    return config;
}

ClusterConfig with_stable_indices(const ClusterConfig& running, const ClusterConfig& reloaded) {
    ClusterConfig merged = reloaded;
    merged.request_class_names =
        with_stable_indices(running.request_class_names, reloaded.request_class_names);
    merged.tenant_names = with_stable_indices(running.tenant_names, reloaded.tenant_names);
    merged.zone_names = with_stable_indices(running.zone_names, reloaded.zone_names);

    // A request class that was removed keeps its entry, because open requests still refer to it by index.
    merged.policy.request_classes = running.policy.request_classes;
    merged.policy.request_classes.resize(merged.request_class_names.size());
    for (size_t k = 0; k < merged.request_class_names.size(); ++k)
        if (const auto source = index_of(reloaded.request_class_names, merged.request_class_names[k]))
            merged.policy.request_classes[k] = reloaded.policy.request_classes[*source];

    merged.policy.tenants = static_cast<int>(merged.tenant_names.size());
    const auto zone = static_cast<size_t>(reloaded.policy.zone);
    if (zone < reloaded.zone_names.size()) {
        const std::optional<size_t> index = index_of(merged.zone_names, reloaded.zone_names[zone]);
        merged.policy.zone = static_cast<int>(index.value_or(merged.zone_names.size()));
    }
    return merged;
}

}  // namespace headrouter
