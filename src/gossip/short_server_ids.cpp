#include "gossip/short_server_ids.h"

#include "base/hash.h"

namespace headrouter::gossip {

ShortServerId ShortServerIds::short_id_of(const std::string& server_id) {
    return static_cast<ShortServerId>(hash_of(server_id) % short_server_id_modulus);
}

void ShortServerIds::add(const std::string& server_id, ServerIndex server) {
    const auto [it, is_new] = servers_.emplace(short_id_of(server_id), server);
    if (!is_new) it->second.reset();
}

std::optional<ServerIndex> ShortServerIds::find(ShortServerId short_id) const {
    const auto it = servers_.find(short_id);
    if (it == servers_.end()) return std::nullopt;
    return it->second;
}

}  // namespace headrouter::gossip
