#include "testbed/fleet_clients.h"

#include <utility>

namespace headrouter::testbed {

using namespace scenario;

FleetClients::FleetClients(FleetContext& context, std::vector<Session> sessions, uint64_t index,
                           const std::vector<std::string>& balancer_addresses)
    : context_(context),
      population_(thread_.timers(), context.scenario, std::move(sessions), context.seed + index,
                  context.checker, outcome_) {
    population_.ask_servers(
        [this](int server) { return context_.is_answering[static_cast<size_t>(server)].load(); });
    for (const std::string& address : balancer_addresses) population_.add_balancer(address);
}

void FleetClients::run(TimePoint start) {
    TimerQueue& timers = thread_.timers();
    timers.begin(start);
    for (const ScheduledAction& action : context_.actions) {
        if (action.what != ScheduledAction::What::clients_drop) continue;
        timers.at(action.at, [this, part = action.size] { population_.drop(part); });
    }
    population_.start();
    timers.at(TimePoint{}, [this] { sample(); });
    timers.at(TimePoint{} + context_.scenario.length, [this] {
        context_.is_finished = true;
        population_.stop();
    });
    thread_.run();
}

// The start is not sampled, since there are no connections yet; at the end all clients are disconnected.
void FleetClients::sample() {
    if (samples_++ > 0) population_.sample();
    const TimePoint next = TimePoint{} + sample_every * samples_;
    if (next < TimePoint{} + context_.scenario.length) thread_.timers().at(next, [this] { sample(); });
}

}  // namespace headrouter::testbed
