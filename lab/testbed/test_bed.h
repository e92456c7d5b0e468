// Simulates a whole deployment on loopback: servers, a discovery agent for each balancer, clients, and the
// script of incidents. The caller provides the balancers: child processes, or balancers in its own event
// loop.
#pragma once
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "scenario/simulated_server.h"
#include "testbed/address_block.h"
#include "testbed/client_population.h"
#include "testbed/fake_discovery.h"
#include "testbed/polling_client.h"

namespace headrouter::testbed {

class TestBed {
   public:
    // Holds a balancer's listen address, its discovery address, and its start configuration in the platform's
    // format.
    struct Seat {
        std::string name, listen, discovery, config;
    };
    struct Balancers {
        std::function<void(int)> start, kill;  // starts or kills a process of the balancer with that number
    };
    TestBed(struct ev_loop*, const scenario::Scenario&, uint64_t seed, scenario::Outcome&);
    ~TestBed();
    TestBed(const TestBed&) = delete;
    TestBed& operator=(const TestBed&) = delete;

    const Seat& seat(int balancer) const { return seats_[balancer]; }
    const std::string& place(int server) const { return places_[server]; }
    std::string fresh_config(int balancer);  // returns a configuration with a new seed
    bool ready(int balancer);                // whether the balancer answers PING with PONG; to be polled
    void begin(Balancers);                   // starts the script and the clients once all balancers are ready
    bool finished() const { return finished_; }
    void finish();                   // runs the checker's final checks
    std::string not_judged() const;  // empty, or the reason why the balancer cannot be judged

    TimerQueue& timers() { return timers_; }
    ClientPopulation& clients() { return *clients_; }
    FakeServer& server(int k) { return *servers_[k]; }
    scenario::SimulatedServer& machine(int k) { return *machines_[k]; }
    FakeDiscovery& agent(int b) { return *agents_[b]; }
    scenario::InvariantChecker& checker() { return checker_; }

   private:
    void apply_action(const scenario::ScheduledAction&);
    void list_changes(const scenario::ScheduledAction&);
    void told(int balancer, const std::vector<Entry>&, bool whole);
    void look();
    Entry entry(int k) const;

    const scenario::Scenario& world_;
    scenario::Outcome& out_;
    TimerQueue timers_;
    AddressBlock block_;
    scenario::InvariantChecker checker_;
    Pcg32 chance_;
    int descriptors_;
    std::vector<std::unique_ptr<scenario::SimulatedServer>> machines_;
    std::unique_ptr<ClientPopulation> clients_;
    std::vector<std::unique_ptr<FakeServer>> servers_;
    std::vector<std::string> places_;
    std::vector<EndpointState> conditions_;
    std::vector<int64_t> started_ms_;
    std::vector<std::unique_ptr<FakeDiscovery>> agents_;
    std::vector<Seat> seats_;
    Balancers balancers_;
    std::vector<PollingClient> pings_;
    int looks_ = 0;
    bool finished_ = false;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace headrouter::testbed
