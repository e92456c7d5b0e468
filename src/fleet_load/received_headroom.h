/// Picks servers by the headroom that this balancer has received.
#pragma once
#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

#include "base/server_index.h"
#include "base/time.h"
#include "fleet_load/eligible_server.h"

namespace headrouter::fleet_load {

/// Holds the latest headroom and picks servers by it. Not thread-safe.
class ReceivedHeadroom {
   public:
    struct State {
        std::vector<int> headroom;  ///< in the order of the server list
        uint32_t timestamp = 0;     ///< the sender's, of the latest message
        std::optional<int> from;    ///< replica index of the sender
        TimePoint received_at;      ///< when the latest message arrived; zero before the first
        int picked = 0;             ///< picks since `received_at`
        double usually_picked = 0;  ///< moving average of picks between two headroom messages
    };

    [[nodiscard]] const State& state() const { return state_; }
    void restore(State state) { state_ = std::move(state); }

    /// Stores the headroom of `server_count` servers, in the order of their list, which replica `from` sent
    /// at its `timestamp`.
    void accept(TimePoint now, int from, uint32_t timestamp, const std::vector<int>& headroom,
                size_t server_count);
    /// Discards the headroom; for a server list that has changed.
    void clear() { state_.headroom.clear(); }

    /// Returns the number of servers with headroom.
    size_t size() const { return state_.headroom.size(); }
    /// Returns the replica index of the sender of the latest headroom; nullopt before the first.
    const std::optional<int>& from() const { return state_.from; }
    uint32_t timestamp() const { return state_.timestamp; }
    /// Returns when the latest headroom arrived; zero before the first.
    TimePoint received_at() const { return state_.received_at; }

    /// Returns the weight to give the headroom: 1 while it is fresh, then falling to 0.
    [[nodiscard]] double freshness(TimePoint now) const;
    /// Returns whether more than twice the usual number of picks between two headroom messages, plus one,
    /// have used this headroom. Headroom is computed for the usual traffic: a burst at many balancers at once
    /// would overload the servers with headroom.
    [[nodiscard]] bool is_used_up() const;
    /// Returns the server for the next connection; nullopt if the balancer's own share must decide.
    /// `replica_place` is this balancer's position among all, between 0 and 1; `servers` is the list that the
    /// headroom belongs to.
    [[nodiscard]] std::optional<ServerIndex> pick(double replica_place,
                                                  const std::vector<EligibleServer>& servers);

   private:
    State state_;
};

}  // namespace headrouter::fleet_load
