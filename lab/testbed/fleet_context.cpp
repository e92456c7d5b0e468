#include "testbed/fleet_context.h"

#include <algorithm>
#include <utility>

namespace headrouter::testbed {

using namespace scenario;

namespace {
// Transit through the fakes may delay bytes by this much beyond a rule's limit.
constexpr Duration checker_slack = millis(50);
}  // namespace

FleetContext::FleetContext(const Scenario& given, uint64_t run_seed, std::vector<std::string> addresses)
    : scenario(given),
      seed(run_seed),
      injections(injections_of(given, run_seed)),
      actions(schedule_of(given, run_seed)),
      server_kinds(kinds_of(given)),
      server_addresses(std::move(addresses)),
      checker(scenario, checker_slack),
      is_answering(static_cast<size_t>(given.servers)),
      has_fallen(static_cast<size_t>(given.servers)) {
    for (std::atomic<bool>& answers : is_answering) answers = true;
}

bool strikes(const FaultInjection& injection, int balancer) {
    return std::binary_search(injection.balancers.begin(), injection.balancers.end(), balancer);
}

bool strikes(const FaultInjection& injection, int balancer, int server) {
    return strikes(injection, balancer) &&
           std::binary_search(injection.servers.begin(), injection.servers.end(), server);
}

bool is_fault_of_server_paths(FaultKind kind) {
    return kind >= FaultKind::path_stall && kind <= FaultKind::path_reset;
}

bool is_fault_of_client_paths(FaultKind kind) {
    return kind >= FaultKind::client_stall && kind <= FaultKind::client_reset;
}

bool is_fault_of_endpoint_lists(FaultKind kind) {
    return kind >= FaultKind::list_silent && kind <= FaultKind::list_hidden;
}

}  // namespace headrouter::testbed
