/// Plays the schedule of a simulated world: what befalls servers, clients, discovery and balancers, and when.
#pragma once
#include <vector>

#include "simulation/client_front.h"
#include "simulation/endpoint_announcer.h"
#include "simulation/simulated_clients.h"
#include "simulation/simulated_servers.h"
#include "simulation/simulation_context.h"

namespace headrouter::simulation {

class FaultPlayer {
   public:
    /// What the schedule acts on.
    struct Targets {
        RequestTable& requests;
        ClientFront& front;
        SimulatedClients& clients;
        SimulatedServers& servers;
        EndpointAnnouncer& announcer;
    };
    FaultPlayer(SimulationContext&, const Targets&, std::vector<scenario::ScheduledAction>,
                std::vector<scenario::FaultInjection>);

    /// Schedules all actions, and the beginnings and ends of the injections into balancers' processes.
    void schedule_all();

    const std::vector<scenario::FaultInjection>& injections() const { return injections_; }

    void on(const ActionDue&);
    void on(const InjectionBegins&);
    void on(const InjectionEnds&);
    void on(const FrontNotices&);

   private:
    void change_endpoint(const scenario::ScheduledAction&);
    void stop_balancer(int balancer);
    void start_balancer(int balancer);
    void stall_balancer(int balancer, TimePoint until);

    SimulationContext& context_;
    Targets targets_;
    std::vector<scenario::ScheduledAction> actions_;
    std::vector<scenario::FaultInjection> injections_;
    std::vector<TimePoint> stalled_until_;  // by balancer
};

}  // namespace headrouter::simulation
