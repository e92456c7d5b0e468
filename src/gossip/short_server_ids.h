/// The short ids by which messages name servers.
#pragma once
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>

#include "base/server_index.h"
#include "gossip/gossip_message.h"

namespace headrouter::gossip {

/// From short ids to the servers known here. Where two known servers share a short id, it means neither. Not
/// thread-safe.
class ShortServerIds {
   public:
    /// The server of each short id; none where several have it.
    using State = std::unordered_map<ShortServerId, std::optional<ServerIndex>>;

    [[nodiscard]] const State& state() const { return servers_; }
    void restore(State state) { servers_ = std::move(state); }

    /// The low bits of a hash of a server's id, the same at every balancer.
    [[nodiscard]] static ShortServerId short_id_of(const std::string& server_id);

    /// Adds a server with its index at this balancer; each server once.
    void add(const std::string& server_id, ServerIndex server);

    /// The index of the server that a short id means.
    [[nodiscard]] std::optional<ServerIndex> find(ShortServerId) const;

   private:
    State servers_;
};

}  // namespace headrouter::gossip
