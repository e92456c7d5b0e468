#include "simulation/fault_player.h"

#include <algorithm>

namespace headrouter::simulation {
using namespace scenario;

namespace {

constexpr Duration front_notice = seconds(1);  // until no more clients are sent to a balancer that died
constexpr int front_return_ticks = 4;          // until they are sent to one that is back
constexpr int start_ticks = 2;                 // until a new process runs

/// Links are at fault by themselves; only what is done to processes is played here.
bool is_of_processes(const FaultInjection& injection) {
    return injection.fault.kind == FaultKind::stall || injection.fault.kind == FaultKind::kill;
}

}  // namespace

FaultPlayer::FaultPlayer(SimulationContext& context, const Targets& targets,
                         std::vector<ScheduledAction> actions, std::vector<FaultInjection> injections)
    : context_(context),
      targets_(targets),
      actions_(std::move(actions)),
      injections_(std::move(injections)),
      stalled_until_(static_cast<size_t>(context.world.balancers)) {}

void FaultPlayer::schedule_all() {
    for (size_t k = 0; k < actions_.size(); ++k) context_.events.schedule(actions_[k].at, ActionDue{k});
    for (size_t k = 0; k < injections_.size(); ++k) {
        if (!is_of_processes(injections_[k])) continue;
        context_.events.schedule(injections_[k].from, InjectionBegins{k});
        context_.events.schedule(injections_[k].until, InjectionEnds{k});
    }
}

void FaultPlayer::on(const ActionDue& event) {
    using What = ScheduledAction::What;
    const ScheduledAction& action = actions_[event.action];
    switch (action.what) {
        case What::list_gone:
        case What::list_draining:
        case What::list_serving: return change_endpoint(action);
        case What::list_silent:
        case What::list_garbled: return targets_.announcer.fail();
        case What::list_back: return targets_.announcer.tell_first_list();
        case What::list_sound: return targets_.announcer.recover();
        case What::clients_drop: return targets_.clients.drop(action.size);
        case What::balancer_dies: return stop_balancer(action.target);
        case What::balancer_starts: return start_balancer(action.target);
        default: return targets_.servers.apply(action);
    }
}

void FaultPlayer::change_endpoint(const ScheduledAction& action) {
    using What = ScheduledAction::What;
    if (action.what == What::list_gone)
        return targets_.announcer.change(action.target, EndpointState::removed, std::nullopt);
    if (action.what == What::list_draining)
        return targets_.announcer.change(action.target, EndpointState::draining, std::nullopt);
    if (targets_.servers.fell(action.target)) return;
    targets_.announcer.change(action.target, EndpointState::active, targets_.servers.started(action.target));
}

void FaultPlayer::on(const InjectionBegins& event) {
    const FaultInjection& injection = injections_[event.injection];
    for (const int balancer : injection.balancers) {
        if (injection.fault.kind == FaultKind::kill)
            stop_balancer(balancer);
        else
            stall_balancer(balancer, injection.until);
    }
}

void FaultPlayer::on(const InjectionEnds& event) {
    const FaultInjection& injection = injections_[event.injection];
    for (const int balancer : injection.balancers) {
        if (injection.fault.kind == FaultKind::kill) {
            start_balancer(balancer);
            continue;
        }
        context_.checker.went_on(injection.from, context_.now(), balancer);
        context_.events.schedule(context_.now() + context_.tick() * front_return_ticks,
                                 FrontNotices{balancer});
    }
}

void FaultPlayer::on(const FrontNotices& event) {
    const bool goes_on = context_.now() >= stalled_until_[static_cast<size_t>(event.balancer)];
    targets_.front.set_sends(event.balancer, context_.mailboxes.is_running(event.balancer) && goes_on);
}

void FaultPlayer::stall_balancer(int balancer, TimePoint until) {
    context_.checker.excuse_held(balancer);
    TimePoint& stalled_until = stalled_until_[static_cast<size_t>(balancer)];
    stalled_until = std::max(stalled_until, until);
    context_.send(balancer, ProcessStalled{stalled_until}, context_.tick());
    context_.events.schedule(context_.now() + front_notice, FrontNotices{balancer});
}

void FaultPlayer::stop_balancer(int balancer) {
    if (!context_.mailboxes.is_running(balancer)) return;
    context_.checker.balancer_died(balancer);
    context_.send(balancer, ProcessKilled{}, context_.tick());
    context_.mailboxes.mark_stopped(balancer);
    context_.events.schedule(context_.now() + front_notice, FrontNotices{balancer});
    for (const uint64_t id : targets_.requests.held_by(balancer)) {
        SimulatedRequest& request = targets_.requests.at(id);
        const size_t session = request.session;
        const bool is_client_there = !request.client_gone && targets_.clients.latest_request(session) == id;
        request.client_gone = true;
        for (const SimulatedAttempt& attempt : std::vector<SimulatedAttempt>(request.attempts))
            targets_.servers.remove_attempt(id, attempt.number);
        targets_.requests.erase(id);
        if (is_client_there) targets_.clients.connection_broke(session);
    }
}

void FaultPlayer::start_balancer(int balancer) {
    if (context_.mailboxes.is_running(balancer)) return;
    context_.mailboxes.mark_started(balancer, context_.now());
    context_.send(balancer, ProcessStarted{}, context_.tick() * start_ticks);
    targets_.announcer.tell_new_process(balancer);
    context_.events.schedule(context_.now() + context_.tick() * front_return_ticks, FrontNotices{balancer});
}

}  // namespace headrouter::simulation
