/// The datagrams between the balancers of a simulated world.
#pragma once
#include <vector>

#include "scenario/links.h"
#include "simulation/simulation_context.h"

namespace headrouter::simulation {

class GossipNetwork {
   public:
    GossipNetwork(SimulationContext&, const std::vector<scenario::FaultInjection>&, uint64_t seed);

    /// Carries a message to the balancers that it is meant for, over links that may be at fault. Nothing
    /// arrives before `earliest`, up to which the balancers have run already.
    void carry(int from, const GossipMessage&, TimePoint earliest);

    /// Sent so far, one for each receiver.
    uint64_t datagrams() const { return datagrams_; }
    uint64_t bytes() const { return bytes_; }

   private:
    SimulationContext& context_;
    scenario::Links links_;
    uint64_t datagrams_ = 0, bytes_ = 0;
};

}  // namespace headrouter::simulation
