/// Holds the state that the threads of a process fleet share.
#pragma once
#include <atomic>
#include <deque>
#include <string>
#include <vector>

#include "scenario/fault.h"
#include "scenario/invariant_checker.h"
#include "scenario/scenario.h"
#include "scenario/schedule.h"

namespace headrouter::testbed {

/// Holds a run's scenario with its random draws, and the server states that their threads publish for the
/// others. Created before the threads run and kept until they have ended; while they run, only the atomics
/// and the checker, which locks, change.
struct FleetContext {
    FleetContext(const scenario::Scenario&, uint64_t seed, std::vector<std::string> server_addresses);

    const scenario::ServerKind& kind_of(int server) const {
        return scenario.kinds[static_cast<size_t>(server_kinds[static_cast<size_t>(server)])];
    }
    const std::string& address_of(int server) const { return server_addresses[static_cast<size_t>(server)]; }

    scenario::Scenario scenario;
    uint64_t seed;
    std::vector<scenario::FaultInjection> injections;
    std::vector<scenario::ScheduledAction> actions;
    std::vector<int> server_kinds;              ///< by server: index into the scenario's kinds
    std::vector<std::string> server_addresses;  ///< by server: HOST:PORT
    scenario::InvariantChecker checker;
    std::deque<std::atomic<bool>> is_answering;  ///< by server
    std::deque<std::atomic<bool>> has_fallen;    ///< by server: it was overloaded and its process died
    std::atomic<bool> is_finished{false};        ///< the scenario's length has elapsed
};

/// Returns whether an injection affects this balancer, or the path from it to this server.
bool strikes(const scenario::FaultInjection&, int balancer);
bool strikes(const scenario::FaultInjection&, int balancer, int server);

/// Return which part of the deployment a fault affects.
bool is_fault_of_server_paths(scenario::FaultKind);
bool is_fault_of_client_paths(scenario::FaultKind);
bool is_fault_of_endpoint_lists(scenario::FaultKind);

}  // namespace headrouter::testbed
