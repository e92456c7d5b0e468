/// The configuration that a balancer reads at its start and at each reload.
#pragma once
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "config/cluster_config.h"
#include "config/config_error.h"
#include "discovery/endpoint_update.h"
#include "transport/clock.h"

namespace headrouter {

/// Holds the configuration of one balancer. Addresses have the form HOST:PORT with a numeric host and port.
struct BootstrapConfig {
    /// Name of this balancer in the log; may be empty.
    std::string name;
    /// Address at which clients connect.
    std::string listen;
    /// Address of the discovery service, which serves the endpoint list.
    std::string discovery;
    /// Address at which operators send admin commands; empty: no admin server.
    std::string admin;

    /// This balancer's own gossip address; empty: it neither sends nor receives gossip.
    std::string own_gossip_address;
    /// Gossip addresses of all balancers, by replica index, including this one's.
    std::vector<std::string> gossip_addresses;
    /// Whether gossip is permitted although no gossip addresses are configured.
    bool gossip_without_peers = false;

    /// Directory of the hot-restart socket, shared with the next process; empty: no hot restart.
    std::string runtime_folder;
    /// Seed of the policy's random decisions.
    uint64_t seed = 0;
    /// Limit on open file descriptors.
    int max_descriptors = 1024;
    /// Memory limit in megabytes; zero: unlimited.
    size_t max_memory_mb = 0;

    ClusterConfig cluster;
    /// Endpoint list known before the start; empty if there is none.
    EndpointUpdate cached_endpoints;
};

/// Parses the JSON configuration that the platform writes. `clock` converts Unix times to this process's
/// steady time. Throws ConfigError, without a file name, if a field is missing or invalid.
[[nodiscard]] BootstrapConfig parse_bootstrap_config(const std::string& text, const Clock& clock);

}  // namespace headrouter
