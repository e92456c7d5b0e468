// Fakes one of the platform's servers: speaks the platform's line protocol for a SimulatedServer, which
// decides the answer to a set-up and the time a message takes. Reports its events to `SeenByServers`, for the
// checker.
#pragma once
#include <memory>
#include <string_view>
#include <unordered_map>

#include "scenario/simulated_server.h"
#include "testbed/acceptor.h"
#include "testbed/timer_queue.h"
#include "transport/line_connection.h"
#include "transport/lingering_closer.h"

namespace headrouter::testbed {

class SeenByServers {
   public:
    struct Opened {          // the request of the client that sent the line
        bool known = false;  // whether a client sent this line, apart from its deadline
        int type = 0, balancer = 0;
        double load = 0;
        std::string group;
    };
    virtual ~SeenByServers() = default;
    virtual Opened first_line(uint64_t request, std::string_view line) = 0;
    virtual void attempt_began(uint64_t request, int server, int balancer) = 0;
    virtual void attempt_ran(uint64_t request, int server) = 0;
    virtual void attempt_rejected(uint64_t request, int server) = 0;
    virtual void attempt_ended(uint64_t request, int server, bool by_server) = 0;
    virtual void garbled(int server, std::string_view line) = 0;  // a line that no client sent
};

class FakeServer : private LineConnection::Owner {
   public:
    FakeServer(TimerQueue&, int number, std::string at, scenario::SimulatedServer&, const scenario::Scenario&,
               SeenByServers&);
    ~FakeServer() override;
    FakeServer(const FakeServer&) = delete;
    FakeServer& operator=(const FakeServer&) = delete;

    void die();     // connections are reset, new ones refused
    void vanish();  // sends nothing more; new connections are never established
    void hang();    // accepts connections and bytes, sends nothing
    void answer_again();
    void start_cold();  // a new process under the same id
    void drain();
    void move_part(double part);  // sends MOVE on this part of the established connections and ends them
    void look();  // to be called several times a second: resets connections after an overload crash, reports
                  // delays each second
    size_t connections() const { return conns_.size(); }
    bool short_of_descriptors() const { return acceptor_.short_of_descriptors(); }

   private:
    struct Conn {
        std::unique_ptr<LineConnection> line;
        uint64_t request = 0;
        int balancer = -1;
        bool opened = false, standing = false, answered = false;
    };
    void on_bytes(LineConnection&, std::string_view, bool whole) override;
    void on_closed(LineConnection&, CloseReason) override;
    void taken(Fd);
    void opening(Conn&, std::string_view line);
    void set_up(uint64_t id, TimePoint until);
    void set_up_done(uint64_t id, scenario::SimulatedServer::SetUp::How);
    void tell_delay();
    void leave(uint64_t id, CloseReason, bool by_server);
    void send_line(uint64_t id, std::string_view);
    void later(TimePoint, std::function<void()>);
    bool silent() const { return !machine_.answers(); }

    TimerQueue& timers_;
    int number_;
    scenario::SimulatedServer& machine_;
    const scenario::Scenario& world_;
    SeenByServers& seen_;
    LingeringCloser farewell_;
    std::unordered_map<uint64_t, Conn> conns_;
    std::vector<std::function<void()>> when_back_;  // answers held back while the server hung
    uint64_t last_ = 0;
    TimePoint told_at_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
    Acceptor acceptor_;  // last member: it may pass on a connection as soon as it exists
};

// Returns the number in a field such as "d=" of a client's first line; negative if there is none.
int64_t field_of(std::string_view line, std::string_view name);
uint64_t request_of(std::string_view line);  // returns the id of an OPEN; 0 if there is none

}  // namespace headrouter::testbed
