/// The clients of a simulated world: when each comes, how long it waits, when it comes again.
#pragma once
#include <optional>
#include <vector>

#include "scenario/session.h"
#include "simulation/client_front.h"
#include "simulation/request_table.h"
#include "simulation/simulation_context.h"

namespace headrouter::simulation {

class SimulatedClients {
   public:
    SimulatedClients(SimulationContext&, RequestTable&, const ClientFront&, std::vector<scenario::Session>);

    /// Schedules the beginnings and ends of all sessions.
    void schedule_sessions();

    const scenario::Session& session(size_t number) const { return sessions_[number]; }

    /// The request that a client made last.
    uint64_t latest_request(size_t session) const { return clients_[session].request; }

    /// Revenue of all sessions that want service now.
    double revenue_asked() const;

    void on(const SessionBegins&);
    void on(const SessionEnds&);
    void on(const ClientConnects&);
    void on(const DeadlineExpires&);
    void on(const AnswerArrives&);

    /// A part of the established clients, drawn, end their connections and come again.
    void drop(double part);

    /// The balancer that held the client's request died.
    void connection_broke(size_t session);

   private:
    struct Client {
        enum class State { away, asking, established, over } state = State::away;
        std::optional<scenario::ClientRetryPolicy> retry;
        uint64_t request = 0;
        uint32_t tries = 0;
        bool is_reconnect = false;
    };
    void connect(size_t number);
    void retry_failed(size_t session, TimePoint failed_at);
    void come_again(size_t session, std::optional<TimePoint> at);
    void leave_request(uint64_t id, bool waited);
    void established(size_t session, uint64_t id);

    SimulationContext& context_;
    RequestTable& requests_;
    const ClientFront& front_;
    std::vector<scenario::Session> sessions_;
    std::vector<Client> clients_;
    std::vector<double> wanting_;  // sessions that want service, by request class
};

}  // namespace headrouter::simulation
