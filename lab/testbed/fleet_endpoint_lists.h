/// Serves the endpoint lists of a process fleet: a fake discovery for each balancer, on one thread.
#pragma once
#include <memory>
#include <string>
#include <vector>

#include "testbed/event_loop_thread.h"
#include "testbed/fake_discovery.h"
#include "testbed/faulty_paths.h"
#include "testbed/fleet_context.h"

namespace headrouter::testbed {

/// Gives each balancer a list with the addresses by which that balancer reaches the servers, applies the
/// schedule's changes to it, and injects the faults that affect it.
class FleetEndpointLists {
   public:
    /// `addresses`: the discovery address of each balancer. `context` and `paths` must outlive this object.
    FleetEndpointLists(FleetContext& context, const FaultyPaths& paths,
                       const std::vector<std::string>& addresses);
    ~FleetEndpointLists() { thread_.end(); }
    FleetEndpointLists(const FleetEndpointLists&) = delete;
    FleetEndpointLists& operator=(const FleetEndpointLists&) = delete;

    /// Starts to serve the lists.
    void run() { thread_.run(); }
    /// Schedules actions and faults, with times counted from `start`.
    void begin(TimePoint start);
    void end() { thread_.end(); }

   private:
    struct ServerEntry {
        EndpointState state = EndpointState::active;
        int64_t started_unix_ms = 0;  // zero for servers started before the run
    };

    ServerEntry& server_entry(int server) { return servers_[static_cast<size_t>(server)]; }
    Entry entry_for(int balancer, int server) const;
    bool is_hidden(int balancer, int server, TimePoint) const;
    Duration added_delay(int balancer, TimePoint) const;
    void on_list_written(int balancer, const std::vector<Entry>&, bool is_whole_list);
    void schedule_all();
    void apply(const scenario::ScheduledAction&);
    void change_state(int server, EndpointState);
    void announce(int balancer, const Entry&);
    void schedule_hiding(const scenario::FaultInjection&);
    void set_hidden(const scenario::FaultInjection&, bool is_hidden);
    void schedule_misbehaviour(const scenario::FaultInjection&);
    void set_all(FakeDiscovery::Manner);

    FleetContext& context_;
    const FaultyPaths& paths_;
    EventLoopThread thread_;
    std::vector<ServerEntry> servers_;
    std::vector<std::unique_ptr<FakeDiscovery>> discoveries_;  // by balancer
};

}  // namespace headrouter::testbed
