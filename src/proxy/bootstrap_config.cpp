#include "proxy/bootstrap_config.h"

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <algorithm>
#include <charconv>
#include <utility>

#include "config/json.h"
#include "transport/socket.h"

namespace headrouter {

using json::Json;

namespace {

constexpr int seed_base = 16;

uint64_t parse_seed(const std::string& digits) {
    uint64_t seed = 0;
    const char* const end = digits.data() + digits.size();
    const std::from_chars_result result = std::from_chars(digits.data(), end, seed, seed_base);
    if (digits.empty() || result.ec != std::errc() || result.ptr != end)
        json::wrong("seed", "a hexadecimal number of 64 bits");
    return seed;
}

void parse_limits(const Json& document, BootstrapConfig& config) {
    if (!json::find(document, "limits")) return;
    const Json& limits = json::object(document, "limits");
    if (json::find(limits, "sockets")) config.max_descriptors = json::small(limits, "sockets");
    if (json::find(limits, "memory_mb"))
        config.max_memory_mb = static_cast<size_t>(std::max(0.0, json::real(limits, "memory_mb")));
}

ClusterConfig parse_settings(const Json& document, const Clock& clock) {
    rapidjson::StringBuffer text;
    rapidjson::Writer<rapidjson::StringBuffer> writer(text);
    json::object(document, "settings").Accept(writer);
    ClusterConfig cluster = parse_cluster_config({text.GetString(), text.GetSize()});
    cluster.policy.wall_clock_offset = clock.wall_clock_offset();
    return cluster;
}

std::vector<std::string> parse_addresses(const Json& list, const std::string& field) {
    std::vector<std::string> addresses;
    for (const Json& entry : list.GetArray()) {
        if (!entry.IsString() || !Address::from(entry.GetString()))
            json::wrong(field.c_str(), "a list of HOST:PORT in numbers");
        const std::string address = entry.GetString();
        if (std::find(addresses.begin(), addresses.end(), address) != addresses.end())
            throw ParseError(json::field_name(field), "lists " + address + " twice");
        addresses.push_back(address);
    }
    return addresses;
}

/// Reads the gossip addresses. A configuration that lists peers must permit gossip and list every replica. A
/// permission without addresses is valid: a platform may permit gossip for every balancer before it knows the
/// others' addresses.
void parse_gossip(const Json& document, BootstrapConfig& config) {
    PolicyConfig& policy = config.cluster.policy;
    const Json* const peers = json::find(document, "peers");
    if (peers == nullptr) {
        config.gossip_without_peers = std::exchange(policy.gossip_enabled, false);
        return;
    }
    if (!policy.gossip_enabled)
        throw ParseError(json::field_name("peers"),
                         "lists balancers, but the settings do not permit gossip: 'ceilings.peers' is not "
                         "true, or 'groupSize' is 1");
    // The platform may also write a bare list; this balancer's address is then the one at its replica index.
    const bool is_bare_list = peers->IsArray();
    const std::string field = is_bare_list ? "peers" : "peers.all";
    const Json& list = is_bare_list ? *peers : json::array(json::object(document, "peers"), "all");
    if (!is_bare_list) config.own_gossip_address = json::text(*peers, "own");
    config.gossip_addresses = parse_addresses(list, field);

    const size_t count = config.gossip_addresses.size();
    if (static_cast<int>(count) != policy.replica_count)
        throw ParseError(json::field_name(field), "has " + std::to_string(count) +
                                                      " addresses, but 'groupSize' is " +
                                                      std::to_string(policy.replica_count));
    const std::string& address = config.gossip_addresses[policy.replica_index];
    if (is_bare_list) config.own_gossip_address = address;
    if (config.own_gossip_address != address)
        throw ParseError(json::field_name("peers.own"),
                         "is '" + config.own_gossip_address + "', but the address of 'slotNo' " +
                             std::to_string(policy.replica_index) + " in 'peers.all' is '" + address + "'");
}

BootstrapConfig parse_document(const Json& document, const Clock& clock) {
    if (!document.IsObject()) throw ParseError("the configuration is not an object");
    BootstrapConfig config;
    config.name = json::text_or(document, "name", "");
    config.listen = json::text(document, "listen");
    config.discovery = json::text(document, "discovery");
    config.admin = json::text_or(document, "ops", "");
    config.seed = parse_seed(json::text(document, "seed"));
    parse_limits(document, config);
    config.cluster = parse_settings(document, clock);
    parse_gossip(document, config);
    if (json::find(document, "known"))
        config.cached_endpoints =
            parse_endpoint_update(json::object(document, "known"), config.cluster, clock);
    return config;
}

}  // namespace

BootstrapConfig parse_bootstrap_config(const std::string& text, const Clock& clock) {
    try {
        rapidjson::Document document;
        json::parse(document, text);
        return parse_document(document, clock);
    } catch (const ParseError& error) {
        throw ConfigError("", error);
    }
}

}  // namespace headrouter
