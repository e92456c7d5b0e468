#include "testbed/faulty_paths.h"

#include <algorithm>

namespace headrouter::testbed {

using namespace scenario;

namespace {

constexpr int first_server_relay_port = 8100;
// A reset fault resets the connections at this interval while it lasts.
constexpr Duration reset_interval = millis(200);
// After a path has healed, bytes that were held back still arrive for this long.
constexpr Duration settling_time = seconds(2);

}  // namespace

FaultyPaths::FaultyPaths(FleetContext& context, const std::vector<BalancerAddresses>& balancers,
                         const std::vector<std::string>& server_hosts)
    : context_(context) {
    add_client_paths(balancers);
    add_server_paths(server_hosts);
}

void FaultyPaths::add_client_paths(const std::vector<BalancerAddresses>& balancers) {
    std::map<int, std::vector<size_t>> injections_by_balancer;
    for (size_t k = 0; k < context_.injections.size(); ++k) {
        const FaultInjection& injection = context_.injections[k];
        if (!is_fault_of_client_paths(injection.fault.kind)) continue;
        for (const int balancer : injection.balancers) injections_by_balancer[balancer].push_back(k);
    }
    for (const auto& [balancer, injections] : injections_by_balancer) {
        const BalancerAddresses& addresses = balancers[static_cast<size_t>(balancer)];
        add(injections, addresses.relay, addresses.listen);
        client_relays_[balancer] = addresses.relay;
    }
}

void FaultyPaths::add_server_paths(const std::vector<std::string>& server_hosts) {
    std::vector<int> next_ports(server_hosts.size(), first_server_relay_port);
    for (int balancer = 0; balancer < context_.scenario.balancers; ++balancer) {
        for (int server = 0; server < context_.scenario.servers; ++server) {
            const std::vector<size_t> injections = injections_between(balancer, server);
            if (injections.empty() || server_paths_.contains({injections, server})) continue;
            const auto index = static_cast<size_t>(server);
            const std::string address = server_hosts[index] + ":" + std::to_string(next_ports[index]++);
            server_paths_[{injections, server}] = add(injections, address, context_.address_of(server));
        }
    }
}

size_t FaultyPaths::add(std::vector<size_t> injections, const std::string& address,
                        const std::string& target) {
    auto relay = std::make_unique<Relay>(thread_.timers(), address, target);
    paths_.push_back({std::move(injections), std::move(relay), address});
    return paths_.size() - 1;
}

std::vector<size_t> FaultyPaths::injections_between(int balancer, int server) const {
    std::vector<size_t> found;
    for (size_t k = 0; k < context_.injections.size(); ++k) {
        const FaultInjection& injection = context_.injections[k];
        if (is_fault_of_server_paths(injection.fault.kind) && strikes(injection, balancer, server))
            found.push_back(k);
    }
    return found;
}

const std::string& FaultyPaths::server_address(int balancer, int server) const {
    const auto path = server_paths_.find({injections_between(balancer, server), server});
    return path == server_paths_.end() ? context_.address_of(server) : paths_[path->second].address;
}

void FaultyPaths::begin(TimePoint start) {
    thread_.post([this, start] {
        thread_.timers().begin(start);
        for (size_t k = 0; k < context_.injections.size(); ++k) {
            const FaultKind kind = context_.injections[k].fault.kind;
            if (is_fault_of_server_paths(kind) || is_fault_of_client_paths(kind)) schedule(k);
        }
    });
}

void FaultyPaths::schedule(size_t index) {
    const FaultInjection& injection = context_.injections[index];
    const FaultKind kind = injection.fault.kind;
    TimerQueue& timers = thread_.timers();
    timers.at(injection.from, [this, index] { play(index); });
    const bool resets = kind == FaultKind::path_reset || kind == FaultKind::client_reset;
    if (resets)
        for (TimePoint at = injection.from + reset_interval; at < injection.until; at = at + reset_interval)
            timers.at(at, [this, index] { play(index); });
    timers.at(injection.until, [this, index, &injection] {
        blame(injection, true);
        play(index);
    });
    timers.at(injection.until + settling_time, [this, &injection] { blame(injection, false); });
}

void FaultyPaths::play(size_t index) {
    const TimePoint now = thread_.timers().now();
    const FaultInjection& injection = context_.injections[index];
    if (injection.at(now)) blame(injection, true);
    for (const Path& path : paths_) {
        const bool is_struck =
            std::find(path.injections.begin(), path.injections.end(), index) != path.injections.end();
        if (is_struck) apply_faults(path, now);
    }
}

// Tells the checker which paths are faulty, so that balancers are not blamed for the connections there.
void FaultyPaths::blame(const FaultInjection& injection, bool is_at_fault) {
    for (const int balancer : injection.balancers) {
        if (!is_fault_of_server_paths(injection.fault.kind)) {
            context_.checker.excuse_held(balancer);
            continue;
        }
        for (const int server : injection.servers)
            context_.checker.path_at_fault(balancer, server, is_at_fault);
    }
}

// Combines all faults of a path that are active now.
void FaultyPaths::apply_faults(const Path& path, TimePoint now) const {
    Relay::Fault combined;
    for (const size_t index : path.injections) {
        const FaultInjection& injection = context_.injections[index];
        if (!injection.at(now)) continue;
        switch (injection.fault.kind) {
            case FaultKind::path_stall:
            case FaultKind::client_stall: combined.stalled = true; break;
            case FaultKind::path_slow:
            case FaultKind::client_slow:
                combined.delay = std::max(combined.delay, injection.fault.span);
                break;
            case FaultKind::path_half_open: combined.half_open = true; break;
            default: path.relay->reset_all(); break;
        }
    }
    path.relay->set(combined);
}

}  // namespace headrouter::testbed
