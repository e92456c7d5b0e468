#include "simulation/gossip_network.h"

#include <algorithm>

namespace headrouter::simulation {

GossipNetwork::GossipNetwork(SimulationContext& context,
                             const std::vector<scenario::FaultInjection>& injections, uint64_t seed)
    : context_(context), links_(injections, context.world.balancers, seed) {}

void GossipNetwork::carry(int from, const GossipMessage& message, TimePoint earliest) {
    const TimePoint arrives = std::max(message.at + context_.world.peer_latency, earliest);
    for (int to = 0; to < context_.world.balancers; ++to) {
        if (to == from || (message.to != all_other_replicas && message.to != to)) continue;
        ++datagrams_;
        bytes_ += message.bytes.size();
        for (scenario::Links::Passed& passed : links_.carry(message.at, from, to, message.bytes)) {
            context_.mailboxes.send(to,
                                    {arrives + passed.later, GossipReceived{from, std::move(passed.bytes)}});
        }
    }
}

}  // namespace headrouter::simulation
