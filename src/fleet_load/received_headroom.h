/// The headroom that this balancer has received, and what it makes of it.
#pragma once
#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

#include "base/server_index.h"
#include "base/time.h"
#include "fleet_load/eligible_server.h"

namespace headrouter::fleet_load {

/// The latest headroom, and the servers picked by it. Not thread-safe.
class ReceivedHeadroom {
   public:
    struct State {
        std::vector<int> headroom;  ///< in the order of the list
        uint32_t timestamp = 0;     ///< of its sender
        std::optional<int> from;    ///< replica index of its sender
        TimePoint received_at;      ///< zero before the first
        int picked = 0;             ///< since then
        double usually_picked = 0;  ///< between two headroom messages
    };

    [[nodiscard]] const State& state() const { return state_; }
    void restore(State state) { state_ = std::move(state); }

    /// Takes the headroom of `server_count` servers, in the order of their list, sent by a replica at its
    /// `timestamp`.
    void accept(TimePoint now, int from, uint32_t timestamp, const std::vector<int>& headroom,
                size_t server_count);
    /// What came is no longer of use, as the list of servers is another.
    void clear() { state_.headroom.clear(); }

    /// Of how many servers there is headroom.
    size_t size() const { return state_.headroom.size(); }
    /// Who sent the latest headroom, if any came.
    const std::optional<int>& from() const { return state_.from; }
    uint32_t timestamp() const { return state_.timestamp; }
    /// When it came; zero before the first.
    TimePoint received_at() const { return state_.received_at; }

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
    State state_;
};

}  // namespace headrouter::fleet_load
