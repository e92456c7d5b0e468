// Expands incidents into single timed actions on servers, balancers, clients and the endpoint list, which
// changes only after its notice time. The model and the sockets use the same actions.
#pragma once
#include <vector>

#include "base/pcg32.h"
#include "scenario/scenario.h"

namespace headrouter::scenario {

struct ScheduledAction {
    enum class What {
        die,
        start_cold,
        vanish,
        hang,
        answer_again,
        speed,
        errors,
        full,
        drain,
        move_one_part,
        list_gone,
        list_draining,
        list_serving,  // list_*: the server's status in the endpoint list from then on
        list_silent,
        list_garbled,
        list_back,
        list_sound,
        clients_drop,
        balancer_dies,
        balancer_starts
    };
    TimePoint at;
    What what = What::die;
    int target = -1;  // number of the server or balancer, depending on `what`
    double size = 0;
};

// Draws a part of the numbers below `all`, at least one; returns them in the order drawn.
std::vector<int> some_of(int all, double part, Pcg32&);

// Returns the actions sorted by time; those at equal times keep the order of the incidents.
std::vector<ScheduledAction> schedule_of(const Scenario&, uint64_t seed);

}  // namespace headrouter::scenario
