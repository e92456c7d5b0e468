// Applies fault injections to the datagrams between balancers: decides for each one that is sent whether it
// arrives, when, how often and with which bytes. Used by the model and on sockets; sends nothing itself.
#pragma once
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/pcg32.h"
#include "scenario/fault.h"

namespace headrouter::scenario {

class Links {
   public:
    Links(const std::vector<FaultInjection>&, int balancers, uint64_t seed);
    struct Passed {
        Duration later;
        std::string bytes;
    };
    // Returns each copy that arrives and its delay beyond that of a healthy link; empty if the datagram is
    // lost.
    std::vector<Passed> carry(TimePoint now, int from, int to, std::string_view bytes);

   private:
    struct AffectedLinks {
        FaultInjection injection;
        std::vector<char> is_affected;
        int reachable = 0;  // FaultKind::alone: how many balancers with the next numbers it still reaches
    };
    bool reachable_alone(const AffectedLinks&, int balancer, int other) const;
    void corrupt(std::string&);
    std::vector<AffectedLinks> affected_;
    int balancers_;
    Pcg32 chance_;
};

}  // namespace headrouter::scenario
