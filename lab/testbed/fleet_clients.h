/// A part of a process fleet's clients, on a thread of their own.
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
    /// `index` of this part among all, which tells its random numbers apart. `context` must outlive it.
    FleetClients(FleetContext& context, std::vector<scenario::Session> sessions, uint64_t index,
                 const std::vector<std::string>& balancer_addresses);
    ~FleetClients() { thread_.end(); }
    FleetClients(const FleetClients&) = delete;
    FleetClients& operator=(const FleetClients&) = delete;

    /// The clients themselves. Threads of servers, and whoever kills balancers, report to it what they did.
    ClientPopulation& population() { return population_; }

    /// The clients come from `start` on; the thread runs.
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
