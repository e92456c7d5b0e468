#include "testbed/fleet_endpoint_lists.h"

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <optional>

namespace headrouter::testbed {

using namespace scenario;
using Manner = FakeDiscovery::Manner;

namespace {

constexpr size_t server_id_prefix = 2;  // "s-"
constexpr int64_t ns_per_ms = 1'000'000;

int64_t unix_ms() {
    using namespace std::chrono;
    return duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count();
}

int server_index_of(const ServerId& id) { return std::atoi(id.c_str() + server_id_prefix); }

Manner manner_of(FaultKind kind) {
    switch (kind) {
        case FaultKind::list_silent: return Manner::silent;
        case FaultKind::list_garbled: return Manner::garbled;
        case FaultKind::list_late: return Manner::late;
        default: return Manner::back;
    }
}

}  // namespace

FleetEndpointLists::FleetEndpointLists(FleetContext& context, const FaultyPaths& paths,
                                       const std::vector<std::string>& addresses)
    : context_(context), paths_(paths), servers_(static_cast<size_t>(context.scenario.servers)) {
    for (int balancer = 0; balancer < context_.scenario.balancers; ++balancer) {
        std::vector<Entry> first_list;
        for (int server = 0; server < context_.scenario.servers; ++server)
            if (!is_hidden(balancer, server, TimePoint{})) first_list.push_back(entry_for(balancer, server));
        discoveries_.push_back(std::make_unique<FakeDiscovery>(
            thread_.timers(), addresses[static_cast<size_t>(balancer)], std::move(first_list),
            [this, balancer](const std::vector<Entry>& entries, bool is_whole_list) {
                on_list_written(balancer, entries, is_whole_list);
            }));
    }
}

Entry FleetEndpointLists::entry_for(int balancer, int server) const {
    const ServerEntry& entry = servers_[static_cast<size_t>(server)];
    const Endpoint endpoint{server_name(server),
                            context_.kind_of(server).weight,
                            entry.state,
                            server % context_.scenario.zones,
                            server % context_.scenario.cells,
                            {}};
    return {endpoint, paths_.server_address(balancer, server), entry.started_unix_ms};
}

bool FleetEndpointLists::is_hidden(int balancer, int server, TimePoint at) const {
    return std::any_of(context_.injections.begin(), context_.injections.end(),
                       [&](const FaultInjection& injection) {
                           return injection.fault.kind == FaultKind::list_hidden && injection.at(at) &&
                                  strikes(injection, balancer, server);
                       });
}

Duration FleetEndpointLists::added_delay(int balancer, TimePoint at) const {
    Duration delay;
    for (const FaultInjection& injection : context_.injections) {
        const bool is_old = injection.fault.kind == FaultKind::list_old && injection.at(at);
        if (is_old && strikes(injection, balancer)) delay = delay + injection.fault.span;
    }
    return delay;
}

// The checker's rules assume that a balancer knows an entry once it has been written to its socket.
void FleetEndpointLists::on_list_written(int balancer, const std::vector<Entry>& entries,
                                         bool is_whole_list) {
    const TimePoint now = thread_.timers().now();
    std::vector<bool> is_named(servers_.size());
    for (const Entry& entry : entries) {
        const int server = server_index_of(entry.listed.server);
        is_named[static_cast<size_t>(server)] = true;
        if (entry.listed.state == EndpointState::active)
            context_.checker.told_wanted(balancer, server);
        else
            context_.checker.told_unwanted(now, balancer, server);
    }
    if (!is_whole_list) return;
    for (int server = 0; server < context_.scenario.servers; ++server)
        if (!is_named[static_cast<size_t>(server)]) context_.checker.told_unwanted(now, balancer, server);
}

// ---- the schedule ----

void FleetEndpointLists::begin(TimePoint start) {
    thread_.post([this, start] {
        thread_.timers().begin(start);
        schedule_all();
    });
}

void FleetEndpointLists::schedule_all() {
    for (const ScheduledAction& action : context_.actions)
        thread_.timers().at(action.at, [this, action] { apply(action); });
    for (const FaultInjection& injection : context_.injections) {
        const FaultKind kind = injection.fault.kind;
        // An old list is applied as a delay of each change, see added_delay.
        if (!is_fault_of_endpoint_lists(kind) || kind == FaultKind::list_old) continue;
        if (kind == FaultKind::list_hidden)
            schedule_hiding(injection);
        else
            schedule_misbehaviour(injection);
    }
}

void FleetEndpointLists::apply(const ScheduledAction& action) {
    using What = ScheduledAction::What;
    switch (action.what) {
        case What::start_cold: server_entry(action.target).started_unix_ms = unix_ms(); return;
        case What::list_gone: return change_state(action.target, EndpointState::removed);
        case What::list_draining: return change_state(action.target, EndpointState::draining);
        case What::list_serving:
            if (context_.has_fallen[static_cast<size_t>(action.target)]) return;
            return change_state(action.target, EndpointState::active);
        case What::list_silent: return set_all(Manner::silent);
        case What::list_garbled: return set_all(Manner::garbled);
        case What::list_back: return set_all(Manner::back);
        case What::list_sound: return set_all(Manner::sound);
        default: return;
    }
}

void FleetEndpointLists::change_state(int server, EndpointState state) {
    server_entry(server).state = state;
    const Scenario& scenario = context_.scenario;
    const TimePoint now = thread_.timers().now();
    Pcg32 random(context_.seed + static_cast<uint64_t>(now.ns / ns_per_ms), static_cast<uint64_t>(server));
    for (int balancer = 0; balancer < scenario.balancers; ++balancer) {
        const Entry changed = entry_for(balancer, server);
        const Duration notice = scenario.add_notice * (scenario.notice_spread * random.uniform());
        thread_.timers().in(notice + added_delay(balancer, now),
                            [this, balancer, changed] { announce(balancer, changed); });
    }
}

void FleetEndpointLists::announce(int balancer, const Entry& changed) {
    const int server = server_index_of(changed.listed.server);
    if (is_hidden(balancer, server, thread_.timers().now())) return;
    discoveries_[static_cast<size_t>(balancer)]->change(changed);
}

void FleetEndpointLists::set_all(Manner manner) {
    for (const auto& discovery : discoveries_) discovery->set_manner(manner);
}

// ---- the faults ----

void FleetEndpointLists::schedule_hiding(const FaultInjection& injection) {
    thread_.timers().at(injection.from, [this, &injection] { set_hidden(injection, true); });
    thread_.timers().at(injection.until, [this, &injection] { set_hidden(injection, false); });
}

void FleetEndpointLists::set_hidden(const FaultInjection& injection, bool is_hidden) {
    for (const int balancer : injection.balancers) {
        for (const int server : injection.servers) {
            Entry entry = entry_for(balancer, server);
            if (is_hidden) entry.listed.state = EndpointState::removed;
            discoveries_[static_cast<size_t>(balancer)]->change(entry);
        }
    }
}

void FleetEndpointLists::schedule_misbehaviour(const FaultInjection& injection) {
    const auto set_manner = [this, &injection](Manner manner) {
        for (const int balancer : injection.balancers)
            discoveries_[static_cast<size_t>(balancer)]->set_manner(manner);
    };
    const Manner at_fault = manner_of(injection.fault.kind);
    thread_.timers().at(injection.from, [set_manner, at_fault] { set_manner(at_fault); });
    thread_.timers().at(injection.until, [set_manner] { set_manner(Manner::sound); });
}

}  // namespace headrouter::testbed
