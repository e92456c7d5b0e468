// Simulates the clients of a test bed. Each session starts at its scheduled time, whatever the balancers do:
// it opens a connection, sends its request, then sends messages at intervals, and reconnects after a failure
// as its ClientRetryPolicy says. Runs on one thread; servers on other threads may report their events, and
// other threads may report killed balancers and whether clients are sent to a balancer.
#pragma once
#include <atomic>
#include <deque>
#include <memory>
#include <mutex>
#include <unordered_map>

#include "scenario/invariant_checker.h"
#include "scenario/outcome.h"
#include "scenario/session.h"
#include "testbed/fake_server.h"
#include "testbed/timer_queue.h"
#include "transport/line_connection.h"
#include "transport/lingering_closer.h"

namespace headrouter::testbed {

class ClientPopulation : public SeenByServers, private LineConnection::Owner {
   public:
    // Starts without balancers; add_balancer() adds them by number. Clients prefer balancers of their own
    // zone.
    ClientPopulation(TimerQueue&, const scenario::Scenario&, std::vector<scenario::Session>, uint64_t seed,
                     scenario::InvariantChecker&, scenario::Outcome&);
    ~ClientPopulation() override;
    ClientPopulation(const ClientPopulation&) = delete;
    ClientPopulation& operator=(const ClientPopulation&) = delete;

    void add_balancer(std::string at);
    // Sets the test whether a server can answer. A client that loses its connection to a server that cannot
    // answer need not get a MOVE first.
    void ask_servers(std::function<bool(int server)> answers) { answers_ = std::move(answers); }
    void front_sends(int balancer, bool on) { balancers_[balancer].sends = on; }
    // Sends new connections to the balancer through another address, a relay's.
    void reach_by(int balancer, const std::string& at);
    void balancer_dies(int balancer);  // to be called right before the balancer is killed
    void start();                      // starts the sessions' schedule at the start of the timer queue
    void sample();
    // Closes this part of the established connections and of those awaiting an answer; their clients
    // reconnect.
    void drop(double part);
    void stop();  // ends all connections; no client reconnects

    size_t up() const;
    size_t over() const { return over_; }  // sessions that have ended
    size_t sessions() const { return sessions_.size(); }
    const std::string& short_of() const { return short_of_; }
    uint64_t garbled_lines() const { return garbled_; }
    uint64_t ids_seen_at_servers() const { return attempts_; }

    Opened first_line(uint64_t request, std::string_view) override;
    void attempt_began(uint64_t request, int server, int balancer) override;
    void attempt_ran(uint64_t request, int server) override;
    void attempt_rejected(uint64_t request, int server) override;
    void attempt_ended(uint64_t request, int server, bool by_server) override;
    void garbled(int server, std::string_view line) override;

   private:
    struct Client {
        enum class State { away, connecting, asking, up, over } state = State::away;
        std::optional<scenario::ClientRetryPolicy> patience;
        std::unique_ptr<LineConnection> line;
        uint64_t request = 0;
        int balancer = -1;
        uint32_t tries = 0;
        bool is_reconnect = false, moved = false;
        TimePoint opened;
        std::deque<TimePoint> unanswered_messages;  // send times of messages without a reply yet
        Duration last_delay;
    };
    void on_bytes(LineConnection&, std::string_view, bool whole) override;
    void on_closed(LineConnection&, CloseReason) override;
    void on_connected(LineConnection&) override;
    void connect_session(size_t who);
    void send_message(size_t who, uint64_t request);
    void on_guard_time_elapsed(size_t who, uint64_t request);
    void answered(size_t who, std::string_view text);
    void away(size_t who, std::optional<TimePoint> is_reconnect);
    void hang_up(size_t who);
    void leaves_waiting(const Client&);
    void end_session(size_t who);
    int choose(int zone);
    std::string opening(const Client&, const scenario::Session&) const;
    static bool served(const Client&, const scenario::RequestClassSpec&, TimePoint now);

    struct Place {
        explicit Place(std::string listen) : at(std::move(listen)), address(*Address::from(at)) {}
        std::string at;
        Address address;
        double share = 1;  // of the clients' choices, relative to the other balancers
        std::atomic<bool> sends{true};
    };
    TimerQueue& timers_;
    const scenario::Scenario& world_;
    std::vector<scenario::Session> sessions_;
    Pcg32 chance_;
    scenario::InvariantChecker& checker_;
    scenario::Outcome& out_;
    LingeringCloser farewell_;
    std::vector<Client> clients_;
    std::deque<Place> balancers_;
    struct Sent {
        size_t who = 0;
        int balancer = -1;
        std::string line;
        bool ended_by_server = false;
        int server = -1;  // the server of its latest attempt
        TimePoint left;   // when its client left without an answer; zero if it did not
    };
    std::mutex book_;                          // guards `sent_`, which server threads access too, and `old_`
    std::unordered_map<uint64_t, Sent> sent_;  // by request id, for the servers and for late events
    std::deque<std::pair<TimePoint, uint64_t>> old_;
    std::function<bool(int)> answers_;
    std::string short_of_;
    std::atomic<uint64_t> garbled_{0}, attempts_{0}, sent_after_left_{0};
    size_t over_ = 0;
    bool stopped_ = false;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace headrouter::testbed
