/// Tracks which servers hold members of which affinity groups, as announced by other balancers and as placed
/// here.
#pragma once
#include <cstdint>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/server_index.h"
#include "base/time.h"

namespace headrouter::gossip {

/// Identifies a server that holds members of a group, with the times of its announcements.
struct GroupLocation {
    ServerIndex server;
    TimePoint received_at;   ///< last announcement by another balancer; zero: never
    TimePoint announced_at;  ///< last announcement by any balancer, including this one
    bool announcement_pending = false;
};

/// Identifies a group, by the hash of its name, and a server that holds one of its members.
struct GroupPlacement {
    uint32_t group = 0;
    ServerIndex server;
};

/// Keeps the known locations of each group; the number of groups and of locations in each is bounded. Not
/// thread-safe.
class GroupLocations {
   public:
    /// Keyed by the hash of the group's name.
    using State = std::unordered_map<uint32_t, std::vector<GroupLocation>>;

    [[nodiscard]] const State& state() const { return groups_; }
    void restore(State state) { groups_ = std::move(state); }

    /// Returns the location of the group on the server, adding it if unknown; a full group drops its oldest
    /// location. The reference is valid until the next call.
    GroupLocation& find_or_add(uint32_t group, ServerIndex server);

    /// Returns the locations of a group, oldest first; valid until the next change.
    [[nodiscard]] const std::vector<GroupLocation>& locations_of(uint32_t group) const;

    /// Removes a server's locations from every group.
    void remove_server(ServerIndex server);

    /// Returns the pending placements to announce now: as many as fit a message and as `credit` pays for, at
    /// `cost` each, both in bytes. Deducts their cost from `credit`. A placement left out is announced when
    /// another member of its group is placed on that server.
    [[nodiscard]] std::vector<GroupPlacement> take_affordable(const std::vector<GroupPlacement>& pending,
                                                              double& credit, double cost);

   private:
    State groups_;
};

}  // namespace headrouter::gossip
