#include "policy/subset_draw.h"

#include <vector>

#include "fleet_load/subset_order.h"

namespace headrouter {

void draw_subset(const PolicyConfig& config, ServerTable& servers) {
    const auto replicas = static_cast<uint64_t>(config.replica_count);
    const bool is_ordered = config.subset_order && config.replica_index < replicas;
    const std::vector<fleet_load::WeightedServer> entries = servers.order_entries();
    const std::vector<double> draws =
        is_ordered ? fleet_load::subset_thresholds(config.replica_index, config.replica_count, entries)
                   : fleet_load::independent_thresholds(config.replica_index, entries);
    for (const ServerIndex index : servers.indexes()) servers[index].subset_draw = draws[index.value()];
}

}  // namespace headrouter
