#include "simulation/client_front.h"

namespace headrouter::simulation {

ClientFront::ClientFront(const scenario::Scenario& world)
    : zones_(world.zones),
      shares_(scenario::traffic_shares(world)),
      sends_(static_cast<size_t>(world.balancers), true) {}

std::optional<int> ClientFront::choose(int zone, Pcg32& chance) const {
    const int balancers = static_cast<int>(shares_.size());
    double near = 0, all = 0;
    for (int b = 0; b < balancers; ++b) {
        const auto at = static_cast<size_t>(b);
        if (!sends_[at]) continue;
        all += shares_[at];
        if (is_near(b, zone)) near += shares_[at];
    }
    double pick = chance.uniform() * (near > 0 ? near : all);
    for (int b = 0; b < balancers; ++b) {
        const auto at = static_cast<size_t>(b);
        if (!sends_[at] || shares_[at] <= 0 || (near > 0 && !is_near(b, zone))) continue;
        pick -= shares_[at];
        if (pick <= 0) return b;
    }
    return std::nullopt;
}

}  // namespace headrouter::simulation
