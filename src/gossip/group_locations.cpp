#include "gossip/group_locations.h"

#include <cstddef>
#include <utility>

#include "gossip/gossip_message.h"

namespace headrouter::gossip {

namespace {
/// Number of groups at which a new group clears all of them; locations still in use are announced again when
/// the group's next member is placed.
constexpr size_t max_groups = 4096;
/// Locations kept for a group; its members usually spread over fewer servers.
constexpr size_t max_locations_per_group = 8;
}  // namespace

GroupLocation& GroupLocations::find_or_add(uint32_t group, ServerIndex server) {
    if (groups_.size() >= max_groups && !groups_.contains(group)) groups_.clear();
    std::vector<GroupLocation>& locations = groups_[group];
    for (GroupLocation& location : locations)
        if (location.server == server) return location;
    if (locations.size() >= max_locations_per_group) locations.erase(locations.begin());
    return locations.emplace_back(GroupLocation{server, {}, {}, false});
}

const std::vector<GroupLocation>& GroupLocations::locations_of(uint32_t group) const {
    static const std::vector<GroupLocation> none;
    const auto it = groups_.find(group);
    return it == groups_.end() ? none : it->second;
}

void GroupLocations::remove_server(ServerIndex server) {
    for (auto& [group, locations] : groups_)
        std::erase_if(locations, [&](const GroupLocation& location) { return location.server == server; });
}

std::vector<GroupPlacement> GroupLocations::take_affordable(const std::vector<GroupPlacement>& pending,
                                                            double& credit, double cost) {
    std::vector<GroupPlacement> taken;
    for (const GroupPlacement& placement : pending) {
        GroupLocation& location = find_or_add(placement.group, placement.server);
        if (!std::exchange(location.announcement_pending, false)) continue;
        if (credit < cost || taken.size() >= max_location_rows) {
            location.announced_at = TimePoint{};  // lets the next member placed there announce the location
            continue;
        }
        credit -= cost;
        taken.push_back(placement);
    }
    return taken;
}

}  // namespace headrouter::gossip
