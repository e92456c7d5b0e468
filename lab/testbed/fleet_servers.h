/// Runs a part of a process fleet's servers on their own thread.
#pragma once
#include <memory>
#include <string_view>
#include <utility>
#include <vector>

#include "scenario/cold_count.h"
#include "scenario/load_evenness.h"
#include "scenario/outcome.h"
#include "scenario/simulated_server.h"
#include "testbed/client_population.h"
#include "testbed/event_loop_thread.h"
#include "testbed/fake_server.h"
#include "testbed/fleet_context.h"

namespace headrouter::testbed {

/// Forwards the servers' events to the clients' threads, which know each request's client.
class FleetServers : private SeenByServers {
   public:
    /// `clients`: the population of each client thread, in thread order. All must outlive this object.
    FleetServers(FleetContext& context, std::vector<ClientPopulation*> clients);
    ~FleetServers() override { thread_.end(); }
    FleetServers(const FleetServers&) = delete;
    FleetServers& operator=(const FleetServers&) = delete;

    /// Adds a server, before the thread runs; `seed` is for the server's own random numbers.
    void add(int server, uint64_t seed);

    /// Starts the thread; the servers listen from now on.
    void run() { thread_.run(); }
    /// Schedules the actions, with times counted from `start`.
    void begin(TimePoint start);
    void end() { thread_.end(); }

    // To be read once the thread has ended.
    void add_to(scenario::Outcome&) const;
    scenario::SpreadLog take_log() { return std::move(log_); }
    bool ran_out_of_descriptors() const;
    EventLoopThread& thread() { return thread_; }

   private:
    struct Server {
        int number = 0;
        std::unique_ptr<scenario::SimulatedServer> simulated;
        scenario::ColdCount cold_requests;
        std::unique_ptr<FakeServer> fake;
    };
    /// Holds each server's requested work divided by its capacity, in the order of `servers_`; negative:
    /// down.
    struct Utilization {
        size_t second = 0;
        std::vector<float> by_server;
    };

    Opened first_line(uint64_t request, std::string_view line) override;
    void attempt_began(uint64_t request, int server, int balancer) override;
    void attempt_ran(uint64_t request, int server) override;
    void attempt_rejected(uint64_t request, int server) override;
    void attempt_ended(uint64_t request, int server, bool by_server) override;
    void garbled(int server, std::string_view line) override;

    ClientPopulation& clients_of_session(uint64_t session) const {
        return *clients_[session % clients_.size()];
    }
    ClientPopulation& clients_of(uint64_t request) const;
    Server* find(int server);
    double cold_request_limit(const scenario::ServerKind&) const;
    void apply(const scenario::ScheduledAction&);
    static void apply(const scenario::ScheduledAction&, Server&, TimePoint now);
    void sample();
    void log_load(const Server&, size_t log_sample);
    void publish_states();

    FleetContext& context_;
    std::vector<ClientPopulation*> clients_;
    double mean_request_load_;  // microseconds of work a second
    EventLoopThread thread_;
    std::vector<Server> servers_;
    scenario::SpreadLog log_;
    std::vector<Utilization> utilization_;
    int samples_ = 0;
};

}  // namespace headrouter::testbed
