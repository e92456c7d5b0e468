#include "proxy/config_reload.h"

#include "config/json.h"
#include "proxy/discovery_watch.h"

namespace headrouter {

void check_reload(const BootstrapConfig& running, const BootstrapConfig& next) {
    static_cast<void>(discovery_address(next));
    if (!running.gossip_addresses.empty() && next.gossip_without_peers)
        throw ConfigError(
            "",
            ParseError(json::field_name("peers"),
                       "is missing, although gossip is permitted and the running configuration has peers"));
    const bool changes_replica_index =
        next.cluster.policy.replica_index != running.cluster.policy.replica_index;
    if (!next.gossip_addresses.empty() && changes_replica_index)
        throw ConfigError("", ParseError(json::field_name("slotNo"),
                                         "cannot change before the next start while gossip is enabled"));
}

bool changes_fixed_settings(const BootstrapConfig& running, const BootstrapConfig& next) {
    return next.listen != running.listen || next.name != running.name || next.admin != running.admin;
}

BootstrapConfig with_fixed_settings(const BootstrapConfig& running, BootstrapConfig next) {
    next.listen = running.listen;
    next.name = running.name;
    next.admin = running.admin;
    return next;
}

}  // namespace headrouter
