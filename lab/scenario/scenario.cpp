#include "scenario/scenario.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <sstream>
#include <utility>

namespace headrouter::scenario {

static constexpr std::array<std::pair<const char*, IncidentKind>, 15> incident_names{{
    {"crash", IncidentKind::crash},
    {"vanish", IncidentKind::vanish},
    {"hang", IncidentKind::hang},
    {"slow", IncidentKind::slow},
    {"errors", IncidentKind::errors},
    {"full", IncidentKind::full},
    {"deploy", IncidentKind::deploy},
    {"shrink", IncidentKind::shrink},
    {"burst", IncidentKind::burst},
    {"heavy", IncidentKind::heavy},
    {"reconnect", IncidentKind::reconnect},
    {"list_outage", IncidentKind::list_outage},
    {"list_garbled", IncidentKind::list_garbled},
    {"list_back", IncidentKind::list_back},
    {"balancer_crash", IncidentKind::balancer_crash},
}};

const char* word(IncidentKind kind) {
    for (const auto& [name, k] : incident_names)
        if (k == kind) return name;
    return "?";
}

bool incident_from(const std::string& text, IncidentKind& kind) {
    for (const auto& [name, k] : incident_names)
        if (text == name) return kind = k, true;
    return false;
}

std::vector<std::string> incident_words() {
    std::vector<std::string> all;
    for (const auto& entry : incident_names) all.emplace_back(entry.first);
    return all;
}

double connections_of(const Scenario& w) {
    double share = 0, load = 0;
    for (const RequestClassSpec& t : w.traffic.types) share += t.share, load += t.share * t.load * 1000;
    return capacity_of(w) * share / load;
}

PolicyConfig deployment_of(const Scenario& w, int balancer) {
    PolicyConfig d;
    for (const RequestClassSpec& t : w.traffic.types)
        d.request_classes.push_back({t.idempotency, t.dedup_scope, t.setup_objective, t.deadline,
                                     t.dedup_window, t.message_objective});
    d.tenants = w.traffic.tenants;
    d.max_attempts = w.max_attempts;
    d.replica_index = static_cast<uint64_t>(balancer);
    d.zone = balancer % w.zones;
    d.cross_zone_cost = w.cross_zone_cost;
    d.groups = w.traffic.groups > 0;
    d.advises_retry_after = w.advises_retry_after;
    d.max_retry_after = w.advises_retry_after ? w.max_retry_after : Duration{};
    if (w.messages || w.tells_size) d.replica_count = w.balancers;
    d.gossip_enabled = w.messages && w.balancers > 1;
    d.subset_order = w.by_number, d.aggregates_fleet_load = w.pooled;
    for (const ServerKind& k : w.kinds) d.slow_start_time = std::max(d.slow_start_time, k.slow_start_time);
    d.overload_multiple = w.overload_multiple, d.overload_window = w.overload_window;
    d.quota = w.quota * connections_of(w);
    return d;
}

static double least_cold_share(const Scenario& w) {
    double least = 1;
    for (const ServerKind& k : w.kinds) least = std::min(least, k.cold_from);
    return std::max(least, 1e-6);
}

std::string settings_json(const Scenario& w, int balancer) {
    const PolicyConfig d = deployment_of(w, balancer);
    std::ostringstream o;
    o << R"({"slotNo":)" << balancer;
    if (d.replica_count > 1) o << R"(,"groupSize":)" << d.replica_count;
    o << R"(,"az":)" << d.zone << R"(,"discovery":"push","stepNs":0,"ceilings":{"maxLegs":)" << d.max_attempts
      << R"(,"dialTimeoutNs":)" << w.connect_time.ns << R"(,"retryAfter":)"
      << (d.advises_retry_after ? "true" : "false") << R"(,"maxRetryAfterNs":)" << d.max_retry_after.ns
      << (d.gossip_enabled ? R"(,"peers":true)" : "") << R"(},"invariants":{"drainGraceNs":)"
      << w.drain_grace.ns << R"(,"coldNs":)" << d.slow_start_time.ns << R"(,"coldShare":)"
      << least_cold_share(w) << R"(,"fallMultiple":)" << d.overload_multiple << R"(,"fallNs":)"
      << d.overload_window.ns << R"(},"charges":{"crossZone":)" << w.cross_zone_cost
      << R"(},"domain":{"mode":"proxy","groups":)" << (d.groups ? "true" : "false") << R"(,"tellsDelay":)"
      << (w.tells_delay ? "true" : "false") << R"(,"messageAimNs":[)";
    for (size_t k = 0; k < d.request_classes.size(); ++k)
        o << (k ? "," : "") << d.request_classes[k].message_objective.ns;
    o << "]";
    for (int t = 0; d.quota > 0 && t < w.traffic.tenants; ++t)
        o << (t ? "," : R"(,"tenantQuotaConnections":[)") << d.quota / w.traffic.tenants;
    o << (d.quota > 0 ? "]" : "") << R"(},"failureDomains":[)";
    for (int z = 0; z < w.zones; ++z) o << (z ? "," : "") << "\"z" << z << '"';
    o << R"(],"realms":[)";
    for (int t = 0; t < w.traffic.tenants; ++t) o << (t ? "," : "") << R"({"name":"t)" << t << "\"}";
    o << R"(],"trafficTypes":[)";
    constexpr std::array effects{"pure", "token", "side_effect"}, scopes{"all", "zone", "cell"};
    for (size_t k = 0; k < d.request_classes.size(); ++k) {
        const RequestClass& t = d.request_classes[k];
        o << (k ? "," : "") << R"({"name":")" << w.traffic.types[k].name << R"(","effect":")"
          << effects[static_cast<size_t>(t.idempotency)] << R"(","keyScope":")"
          << scopes[static_cast<size_t>(t.dedup_scope)] << R"(","setupTargetNs":)" << t.setup_objective.ns
          << R"(,"guardTimeNs":)" << t.deadline.ns << R"(,"windowNs":)" << t.dedup_window.ns << "}";
    }
    o << "]}";
    return o.str();
}

std::vector<int> kinds_of(const Scenario& w) {
    double all = 0, passed = 0;
    for (const ServerKind& k : w.kinds) all += k.share;
    std::vector<int> kinds;
    for (size_t k = 0; k < w.kinds.size(); ++k) {
        passed += w.kinds[k].share;
        const int upto =
            k + 1 == w.kinds.size() ? w.servers : static_cast<int>(std::lround(w.servers * passed / all));
        while (static_cast<int>(kinds.size()) < upto) kinds.push_back(static_cast<int>(k));
    }
    return kinds;
}

// Uses a low-discrepancy sequence, so that quiet and busy balancers are spread over the numbers.
std::vector<double> traffic_shares(const Scenario& w) {
    constexpr double golden = 0.6180339887498949;
    std::vector<double> shares;
    for (int b = 0; b < w.balancers; ++b) {
        const double at = std::fmod((b + 1) * golden, 1.0);
        shares.push_back(at < w.quiet ? 0 : std::pow(w.skew, (at - w.quiet) / std::max(1e-9, 1 - w.quiet)));
    }
    return shares;
}

double capacity_of(const Scenario& w) {
    double all = 0;
    for (const int k : kinds_of(w)) all += w.kinds[k].cores * w.kinds[k].speed * 1e6;
    return all;
}

std::string server_name(int server) {
    char name[24];
    std::snprintf(name, sizeof name, "s-%04d", server);
    return name;
}

}  // namespace headrouter::scenario
