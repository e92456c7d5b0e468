#include "app/check_command.h"

#include <ostream>

namespace headrouter {

namespace {

void print_gossip(std::ostream& out, const BootstrapConfig& config) {
    if (!config.gossip_addresses.empty())
        out << "gossip: sends its counts to " << config.gossip_addresses.size() - 1
            << " other balancers, from " << config.own_gossip_address << ", with replica index "
            << config.cluster.policy.replica_index << "\n";
    if (config.gossip_without_peers)
        out << "gossip: off; the settings permit it, but field 'peers' is empty\n";
}

void print_bootstrap(std::ostream& out, const BootstrapConfig& config) {
    const ClusterConfig& cluster = config.cluster;
    out << "name " << config.name << ", listens on " << config.listen << ", discovery at " << config.discovery
        << "\n";
    out << cluster.request_class_names.size() << " traffic types, " << cluster.tenant_names.size()
        << " tenants, " << cluster.zone_names.size() << " zones, " << config.cached_endpoints.entries.size()
        << " cached endpoints (" << config.cached_endpoints.unreadable_entries << " unreadable entries)\n";
    out << config.max_descriptors << " descriptors at most, " << config.max_memory_mb
        << " MB of memory at most\n";
    if (!config.admin.empty()) out << "admin interface at " << config.admin << "\n";
    print_gossip(out, config);
}

}  // namespace

void print_configuration(std::ostream& out, const Configuration& configuration) {
    print_bootstrap(out, configuration.bootstrap);
    const auto& capture = configuration.operator_config.capture;
    if (!capture) return;
    out << "recordings in " << capture->recorder.folder << (capture->on ? "" : ", off until SIGUSR2") << "\n";
}

}  // namespace headrouter
