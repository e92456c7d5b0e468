/// Simulates a deployment for hundreds of balancers on loopback, spread over threads: servers, clients, the
/// endpoint list of each balancer, the datagrams between balancers and the paths that faults affect.
///
/// The caller runs the balancers as processes, and reports to the fleet what it does to them. The fleet
/// reserves its addresses (testbed/address_block.h), so that two fleets that run at the same time never share
/// any.
#pragma once
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "scenario/outcome.h"
#include "testbed/address_block.h"
#include "testbed/datagram_relay.h"
#include "testbed/event_loop_thread.h"
#include "testbed/faulty_paths.h"
#include "testbed/fleet_clients.h"
#include "testbed/fleet_context.h"
#include "testbed/fleet_endpoint_lists.h"
#include "testbed/fleet_servers.h"

namespace headrouter::testbed {

class ProcessFleet {
   public:
    /// A balancer's name and addresses, all HOST:PORT.
    struct Seat {
        std::string name;
        std::string listen;
        std::string discovery;
        std::string gossip;        ///< address that it sends and receives datagrams at
        std::string gossip_relay;  ///< address that the other balancers send theirs to
    };
    /// Receives each datagram as it was sent, delivered or not: time, sending and receiving balancer, bytes.
    using DatagramObserver = std::function<void(TimePoint, int from, int to, std::string_view)>;

    ProcessFleet(const scenario::Scenario&, uint64_t seed);
    ~ProcessFleet();
    ProcessFleet(const ProcessFleet&) = delete;
    ProcessFleet& operator=(const ProcessFleet&) = delete;

    const Seat& seat(int balancer) const { return seats_[static_cast<size_t>(balancer)]; }
    /// Returns the admin address of a balancer's process; each of its processes, counted from 0, has its own.
    std::string admin_address(int balancer, int process) const;
    /// Returns the configuration for such a process, as JSON.
    std::string config(int balancer, int process);
    const std::vector<scenario::FaultInjection>& injections() const { return context_.injections; }
    const std::vector<scenario::ScheduledAction>& actions() const { return context_.actions; }
    /// Sets the observer; to be called before open().
    void observe_datagrams(DatagramObserver);

    /// Starts discovery, servers and the datagram relay; balancers may start after it.
    void open();
    /// Starts schedule and clients at `start` of the steady clock; all balancers must accept clients by then.
    void begin(TimePoint start);
    /// Returns whether the scenario's length has elapsed.
    bool is_finished() const { return context_.is_finished; }
    /// Ends all threads and returns the outcome of the run.
    scenario::Outcome end();

    // Reports of actions on balancers, to be called right before the action by the thread that takes it.
    void on_balancer_killed(int balancer);
    /// Sets whether clients are sent to the balancer.
    void set_front_sends(int balancer, bool sends);
    scenario::InvariantChecker& checker() { return context_.checker; }
    /// Returns the time since the start of the run.
    TimePoint now() const;

   private:
    void make_clients();
    void make_servers();
    void make_datagram_relay();
    void end_threads();
    std::string why_not_judged() const;

    AddressBlock block_;
    FleetContext context_;
    Pcg32 random_;  // for the balancers' seeds
    int max_descriptors_;
    std::vector<Seat> seats_;
    TimePoint started_at_;  // by the steady clock
    std::vector<std::unique_ptr<FleetServers>> servers_;
    std::vector<std::unique_ptr<FleetClients>> clients_;
    std::unique_ptr<FaultyPaths> paths_;
    std::unique_ptr<FleetEndpointLists> endpoint_lists_;
    EventLoopThread datagram_thread_;
    std::unique_ptr<DatagramRelay> datagrams_;  // null if the scenario has no gossip
};

}  // namespace headrouter::testbed
