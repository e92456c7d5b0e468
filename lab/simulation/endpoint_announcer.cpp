#include "simulation/endpoint_announcer.h"

#include <memory>

namespace headrouter::simulation {
using namespace scenario;

namespace {

constexpr int list_ticks = 3;  // a whole list takes longer than a change

std::vector<Endpoint> first_list(const Scenario& world) {
    const std::vector<int> kinds = kinds_of(world);
    std::vector<Endpoint> list;
    for (int server = 0; server < world.servers; ++server) {
        const ServerKind& kind = world.kinds[static_cast<size_t>(kinds[static_cast<size_t>(server)])];
        list.push_back({server_name(server),
                        kind.weight,
                        EndpointState::active,
                        server % world.zones,
                        server % world.cells,
                        {}});
    }
    return list;
}

}  // namespace

EndpointAnnouncer::EndpointAnnouncer(SimulationContext& context)
    : context_(context), first_list_(first_list(context.world)), list_(first_list_) {
    const auto shared = std::make_shared<const List>(list_);
    for (int balancer = 0; balancer < context_.world.balancers; ++balancer) {
        context_.mailboxes.send(balancer,
                                {TimePoint{}, EndpointsReceived{EndpointUpdateKind::snapshot, shared}});
    }
}

void EndpointAnnouncer::change(int server, EndpointState state, std::optional<TimePoint> launched) {
    Endpoint& endpoint = list_[static_cast<size_t>(server)];
    endpoint.state = state;
    if (launched) endpoint.launched = launched;
    if (is_down_) return;  // the whole list is told when it is up again
    const Scenario& world = context_.world;
    for (int balancer = 0; balancer < world.balancers; ++balancer) {
        const Duration notice = world.add_notice * (world.notice_spread * context_.chance.uniform());
        context_.events.schedule(context_.now() + notice + context_.tick(),
                                 EndpointAnnounced{server, balancer});
    }
}

void EndpointAnnouncer::on(const EndpointAnnounced& event) {
    if (is_down_) return;
    const Endpoint& endpoint = list_[static_cast<size_t>(event.server)];
    const auto changed = std::make_shared<const List>(1, endpoint);
    context_.send(event.balancer, EndpointsReceived{EndpointUpdateKind::delta, changed}, context_.tick());
    tell_checker(event.balancer, endpoint);
}

void EndpointAnnouncer::recover() {
    is_down_ = false;
    tell_all(list_);
}

void EndpointAnnouncer::tell_new_process(int balancer) {
    if (!is_down_) tell_list(balancer, std::make_shared<const List>(list_));
}

void EndpointAnnouncer::tell_all(const List& list) {
    const auto shared = std::make_shared<const List>(list);
    for (int balancer = 0; balancer < context_.world.balancers; ++balancer) tell_list(balancer, shared);
}

void EndpointAnnouncer::tell_list(int balancer, const std::shared_ptr<const List>& list) {
    context_.send(balancer, EndpointsReceived{EndpointUpdateKind::snapshot, list},
                  context_.tick() * list_ticks);
    for (const Endpoint& endpoint : *list) tell_checker(balancer, endpoint);
}

void EndpointAnnouncer::tell_checker(int balancer, const Endpoint& endpoint) {
    const int server = server_index_of(endpoint.server);
    if (endpoint.state == EndpointState::active)
        context_.checker.told_wanted(balancer, server);
    else
        context_.checker.told_unwanted(context_.now() + context_.tick(), balancer, server);
}

}  // namespace headrouter::simulation
