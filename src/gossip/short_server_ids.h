/// Maps the short ids that identify servers in messages to server indexes.
#pragma once
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>

#include "base/server_index.h"
#include "gossip/gossip_message.h"

namespace headrouter::gossip {

/// Maps short ids to the servers known here. A short id shared by two known servers identifies neither. Not
/// thread-safe.
class ShortServerIds {
   public:
    /// The server of each short id; nullopt if several servers share the short id.
    using State = std::unordered_map<ShortServerId, std::optional<ServerIndex>>;

    [[nodiscard]] const State& state() const { return servers_; }
    void restore(State state) { servers_ = std::move(state); }

    /// Returns the low bits of a hash of a server's id; equal at every balancer.
    [[nodiscard]] static ShortServerId short_id_of(const std::string& server_id);

    /// Adds a server with its index at this balancer. Each server must be added only once.
    void add(const std::string& server_id, ServerIndex server);

    /// Returns the index of the server with this short id; nullopt if no server or several servers have it.
    [[nodiscard]] std::optional<ServerIndex> find(ShortServerId) const;

   private:
    State servers_;
};

}  // namespace headrouter::gossip
