/// The headroom that this balancer has received, and what it makes of it.
#pragma once
#include <cstdint>
#include <optional>
#include <vector>

#include "base/server_index.h"
#include "base/time.h"
#include "fleet_load/eligible_server.h"

namespace headrouter {

struct ComponentStateAccess;

namespace fleet_load {

/// The latest headroom, and the servers picked by it. Not thread-safe.
class ReceivedHeadroom {
   public:
    /// Takes the headroom of `server_count` servers, in the order of their list, sent by a replica at its
    /// `timestamp`.
    void accept(TimePoint now, int from, uint32_t timestamp, const std::vector<int>& headroom,
                size_t server_count);
    /// What came is no longer of use, as the list of servers is another.
    void clear() { headroom_.clear(); }

    /// Of how many servers there is headroom.
    size_t size() const { return headroom_.size(); }
    /// Who sent the latest headroom, if any came.
    const std::optional<int>& from() const { return from_; }
    uint32_t timestamp() const { return timestamp_; }
    /// When it came; zero before the first.
    TimePoint received_at() const { return received_at_; }

    /// The weight that the headroom deserves: 1 while it is fresh, falling to 0.
    [[nodiscard]] double freshness(TimePoint now) const;
    /// Whether so many were picked by it as usually come between two headroom messages, twice. Headroom is
    /// for what usually comes: a burst at many balancers at once would overfill the servers that have some.
    [[nodiscard]] bool is_used_up() const;
    /// The server that the next connection should go to; none: the balancer's own share decides.
    /// `replica_place` is this balancer's place among all, between 0 and 1; `servers` are those that the
    /// headroom is of.
    [[nodiscard]] std::optional<ServerIndex> pick(double replica_place,
                                                  const std::vector<EligibleServer>& servers);

   private:
    friend struct headrouter::ComponentStateAccess;
    std::vector<int> headroom_;  // in the order of the list
    uint32_t timestamp_ = 0;
    std::optional<int> from_;
    TimePoint received_at_;
    int picked_ = 0;             // since then
    double usually_picked_ = 0;  // between two headroom messages
};

}  // namespace fleet_load
}  // namespace headrouter
