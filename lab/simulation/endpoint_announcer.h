/// Discovery of a simulated world: the endpoint list, and what each balancer is told of it and when.
#pragma once
#include <memory>
#include <optional>
#include <vector>

#include "simulation/simulation_context.h"

namespace headrouter::simulation {

class EndpointAnnouncer {
   public:
    /// All servers are active; every balancer is told so at once.
    explicit EndpointAnnouncer(SimulationContext&);

    /// A server's state changes; each balancer hears of it after its own notice. `launched`: a new process's
    /// start.
    void change(int server, EndpointState, std::optional<TimePoint> launched);

    /// Nobody is told of changes until `recover`, after which everyone is told the whole list.
    void fail() { is_down_ = true; }
    void recover();

    /// Tells everyone the list as it was at first.
    void tell_first_list() { tell_all(first_list_); }

    /// Tells one balancer, whose process has just started, the whole list.
    void tell_new_process(int balancer);

    void on(const EndpointAnnounced&);

   private:
    using List = std::vector<Endpoint>;
    void tell_all(const List&);
    void tell_list(int balancer, const std::shared_ptr<const List>&);
    void tell_checker(int balancer, const Endpoint&);

    SimulationContext& context_;
    List first_list_, list_;
    bool is_down_ = false;
};

}  // namespace headrouter::simulation
