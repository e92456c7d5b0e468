/// Which servers hold members of which affinity groups, as other balancers announce and as placed here.
#pragma once
#include <cstdint>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/server_index.h"
#include "base/time.h"

namespace headrouter::gossip {

/// A server that holds members of a group.
struct GroupLocation {
    ServerIndex server;
    TimePoint received_at;   ///< last announced by another balancer; zero: never
    TimePoint announced_at;  ///< last announced by any balancer, this one included
    bool announcement_pending = false;
};

/// A group, by the hash of its name, with a member on a server.
struct GroupPlacement {
    uint32_t group = 0;
    ServerIndex server;
};

/// The locations known of each group, bounded in groups and in locations of each. Not thread-safe.
class GroupLocations {
   public:
    /// By the hash of the group's name.
    using State = std::unordered_map<uint32_t, std::vector<GroupLocation>>;

    [[nodiscard]] const State& state() const { return groups_; }
    void restore(State state) { groups_ = std::move(state); }

    /// The location of the pair, made where there is none yet; the group's oldest makes way. The reference is
    /// valid until the next call.
    GroupLocation& find_or_add(uint32_t group, ServerIndex server);

    /// The locations of a group, the oldest first; valid until the next change.
    [[nodiscard]] const std::vector<GroupLocation>& locations_of(uint32_t group) const;

    /// Forgets all that is known of a server, in every group.
    void remove_server(ServerIndex server);

    /// Takes those of the pending placements that are to be announced now: as many as fit a message and as
    /// `credit` pays for, at `cost` each, both in bytes. Those left out are announced when another member is
    /// placed.
    [[nodiscard]] std::vector<GroupPlacement> take_affordable(const std::vector<GroupPlacement>& pending,
                                                              double& credit, double cost);

   private:
    State groups_;
};

}  // namespace headrouter::gossip
