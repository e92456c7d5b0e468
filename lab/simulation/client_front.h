/// Spreads the clients over the balancers, as a name service or a load balancer of the network does.
#pragma once
#include <optional>
#include <vector>

#include "base/pcg32.h"
#include "scenario/scenario.h"

namespace headrouter::simulation {

class ClientFront {
   public:
    explicit ClientFront(const scenario::Scenario&);

    void set_sends(int balancer, bool sends) { sends_[static_cast<size_t>(balancer)] = sends; }

    /// Draws a balancer for a client, by the balancers' shares of the traffic; one of the client's own zone
    /// where there is any. None where no balancer is believed to run.
    std::optional<int> choose(int zone, Pcg32& chance) const;

   private:
    bool is_near(int balancer, int zone) const { return balancer % zones_ == zone; }

    int zones_;
    std::vector<double> shares_;  // of the traffic, by balancer
    std::vector<bool> sends_;
};

}  // namespace headrouter::simulation
