/// A fake deployment for hundreds of balancers on loopback, spread over threads: servers, clients, the
/// endpoint list of each balancer, the datagrams between them and the paths that faults strike.
///
/// Its user brings the balancers as processes, and tells the fleet what it does to them. The addresses are
/// the fleet's own (testbed/address_block.h), so that two fleets side by side never meet.
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
        std::string gossip;        ///< where it sends and receives datagrams
        std::string gossip_relay;  ///< where the other balancers send theirs to
    };
    /// Sees a datagram as it was sent, whatever becomes of it: when, from and to which balancer, its bytes.
    using DatagramObserver = std::function<void(TimePoint, int from, int to, std::string_view)>;

    ProcessFleet(const scenario::Scenario&, uint64_t seed);
    ~ProcessFleet();
    ProcessFleet(const ProcessFleet&) = delete;
    ProcessFleet& operator=(const ProcessFleet&) = delete;

    const Seat& seat(int balancer) const { return seats_[static_cast<size_t>(balancer)]; }
    /// The admin address of a balancer's process; each of its processes, counted from 0, has its own.
    std::string admin_address(int balancer, int process) const;
    /// The configuration for such a process, as JSON.
    std::string config(int balancer, int process);
    const std::vector<scenario::FaultInjection>& injections() const { return context_.injections; }
    const std::vector<scenario::ScheduledAction>& actions() const { return context_.actions; }
    /// To be set before open().
    void observe_datagrams(DatagramObserver);

    /// Lists are served, servers listen, datagrams pass: balancers may start.
    void open();
    /// All balancers take clients. Schedule and clients begin at `start` of the steady clock.
    void begin(TimePoint start);
    /// The scenario's length is over.
    bool is_finished() const { return context_.is_finished; }
    /// Ends all threads and returns what there was to be seen.
    scenario::Outcome end();

    // What is done to balancers, told right before it is done, by the thread that does it.
    void on_balancer_killed(int balancer);
    /// Whether clients are sent to the balancer.
    void set_front_sends(int balancer, bool sends);
    scenario::InvariantChecker& checker() { return context_.checker; }
    /// Time since the start of the run.
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
    TimePoint started_at_;  // of the steady clock
    std::vector<std::unique_ptr<FleetServers>> servers_;
    std::vector<std::unique_ptr<FleetClients>> clients_;
    std::unique_ptr<FaultyPaths> paths_;
    std::unique_ptr<FleetEndpointLists> endpoint_lists_;
    EventLoopThread datagram_thread_;
    std::unique_ptr<DatagramRelay> datagrams_;  // none where the scenario has no gossip
};

}  // namespace headrouter::testbed
