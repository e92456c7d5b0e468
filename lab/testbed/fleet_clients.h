/// Runs a part of a process fleet's clients on their own thread.
#pragma once
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "scenario/outcome.h"
#include "scenario/session.h"
#include "testbed/client_population.h"
#include "testbed/event_loop_thread.h"
#include "testbed/fleet_context.h"

namespace headrouter::testbed {

class FleetClients {
   public:
    /// `index`: the number of this part among all; it selects the random number stream. `context` must
    /// outlive this object.
    FleetClients(FleetContext& context, std::vector<scenario::Session> sessions, uint64_t index,
                 const std::vector<std::string>& balancer_addresses);
    ~FleetClients() { thread_.end(); }
    FleetClients(const FleetClients&) = delete;
    FleetClients& operator=(const FleetClients&) = delete;

    /// Returns the clients. Server threads, and the thread that kills balancers, report events to them.
    ClientPopulation& population() { return population_; }

    /// Starts the thread; the clients' schedule counts from `start`.
    void run(TimePoint start);
    void end() { thread_.end(); }

    /// To be read once the thread has ended.
    const scenario::Outcome& outcome() const { return outcome_; }
    EventLoopThread& thread() { return thread_; }

   private:
    void sample();

    FleetContext& context_;
    EventLoopThread thread_;
    scenario::Outcome outcome_;
    ClientPopulation population_;
    int samples_ = 0;
};

}  // namespace headrouter::testbed
