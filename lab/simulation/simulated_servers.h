/// The servers of a simulated world: set-ups, established connections, what balancers hear from them.
#pragma once
#include <vector>

#include "scenario/load_evenness.h"
#include "scenario/simulated_server.h"
#include "simulation/request_table.h"
#include "simulation/simulated_clients.h"
#include "simulation/simulation_context.h"

namespace headrouter::simulation {

class SimulatedServers {
   public:
    /// What one look at all servers finds.
    struct Sample {
        double served = 0;       // revenue of the connections that are well served
        std::vector<float> use;  // work asked over capacity, by server; -1: down. Only at whole seconds
    };

    /// `seeds` gives one seed for each server.
    SimulatedServers(SimulationContext&, RequestTable&, const SimulatedClients&, Pcg32& seeds);

    void on(const ConnectionArrives&);
    void on(const RequestLineArrives&);
    void on(const SetUpCompletes&);
    void on(const ConnectionCloses&);
    void on(const SilenceNoticed&);

    /// Does what the schedule says of a server itself.
    void apply(const scenario::ScheduledAction&);

    /// The server's side of an attempt is gone, by itself or because the balancer closed it.
    void remove_attempt(uint64_t id, int number);

    bool fell(int server) const { return server_at(server).fell(); }
    TimePoint started(int server) const { return server_at(server).started(); }

    Sample sample();

    /// Brings all servers up to `now` and tells the checker of those that fell over.
    void settle(TimePoint now);
    void report_falls(TimePoint now);
    const scenario::SpreadLog& spread_log() const { return spread_log_; }

   private:
    scenario::SimulatedServer& server_at(int server) { return servers_[static_cast<size_t>(server)]; }
    const scenario::SimulatedServer& server_at(int server) const {
        return servers_[static_cast<size_t>(server)];
    }
    const scenario::RequestClassSpec& class_of(const SimulatedRequest&) const;
    bool is_up_in_time(uint64_t id, const SimulatedRequest&) const;
    void end_attempt(uint64_t id, int number, AttemptOutcome);
    void end_all(int server, AttemptOutcome);
    void move_part(int server, double part);
    void fall_silent(int server);
    void sample_server(int number, bool is_whole_second, Sample&);
    void log_load(int number);
    void report_delay(int server, Duration delay);
    void time_out_messages(int server);

    SimulationContext& context_;
    RequestTable& requests_;
    const SimulatedClients& clients_;
    std::vector<int> kinds_;
    std::vector<scenario::SimulatedServer> servers_;
    std::vector<uint64_t> silences_;  // by server: counts the times that it fell silent or answered again
    scenario::SpreadLog spread_log_;
    double mean_load_ = 0;           // of a connection, in microseconds of work a second
    double shortest_objective_ = 0;  // of messages, in seconds
};

}  // namespace headrouter::simulation
