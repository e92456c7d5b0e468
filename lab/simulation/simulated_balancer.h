/// One balancer of the model: a policy and what the program has around it, namely the endpoint table that is
/// looked at before a byte goes out, the time limits of attempts, and connections that have fallen silent.
#pragma once
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "simulation/balancer_messages.h"
#include "simulation/policy_factory.h"

namespace headrouter::simulation {

/// Shares nothing with other balancers, so that they can run side by side on several threads; what it
/// receives and what it sends is stamped with its time.
class SimulatedBalancer : private PolicyActions {
   public:
    /// `record_to`: the folder for a capture of the policy's events; empty for none. The scenario must
    /// outlive the balancer.
    SimulatedBalancer(const scenario::Scenario&, int number, PolicyKind, uint64_t seed,
                      std::string record_to = {});

    /// Queues an input that arrives no earlier than the last one that was played.
    void receive(BalancerInput);

    /// When the next input or timer is due; the end of time where there is none.
    TimePoint next() const;

    /// Plays all that is due before `until`.
    void run(TimePoint until);

    /// What it has sent since the caller last cleared these.
    std::vector<BalancerOutput>& outputs() { return outputs_; }
    std::vector<GossipMessage>& gossip() { return gossip_; }

    /// A hash over all outputs so far: equal for equal runs.
    uint64_t digest() const { return digest_; }
    uint64_t events() const { return events_; }

   private:
    struct ActiveRequest {
        std::optional<int> attempt;  ///< the number of the latest
        int server = 0;              ///< of the latest attempt
        bool is_pending = false;     ///< the attempt has neither ended nor been established
        bool line_sent = false;
        bool is_established = false;
        TimePoint deadline;
        TimePoint attempt_started_at;
        TimePoint attempt_deadline;
    };
    struct PolicyTimer {
        uint64_t token = 0;
    };
    /// Limits the connect, or the answer, of one attempt.
    struct AttemptTimer {
        uint64_t request = 0;
        int attempt = 0;
    };
    struct Timer {
        TimePoint at;
        uint64_t order = 0;
        std::variant<PolicyTimer, AttemptTimer> purpose;
        bool operator>(const Timer& other) const {
            return at != other.at ? at > other.at : order > other.order;
        }
    };
    struct QueuedInput {
        BalancerInput input;
        uint64_t order = 0;
        bool operator>(const QueuedInput& other) const {
            return input.at != other.input.at ? input.at > other.input.at : order > other.order;
        }
    };
    struct PendingAttempt {
        uint64_t request = 0;
        ServerId server;
        Duration timeout;
    };
    using PendingAction = std::variant<PendingAttempt, AnswerClient>;
    template <class T>
    using EarliestFirst = std::priority_queue<T, std::vector<T>, std::greater<>>;

    void start_attempt(RequestId, const ServerId&, Duration timeout) override;
    void reject(RequestId, Duration retry_after) override;
    void fail(RequestId) override;
    void migrate(RequestId) override;
    void set_timer(TimePoint, uint64_t token) override;
    void watch_endpoints() override {}
    void send_gossip(int to, const std::string& bytes) override;

    // The events of the process, which come whether it runs or not.
    void handle(const ProcessKilled&);
    void handle(const ProcessStarted&);
    void handle(const ProcessStalled&);
    void handle(const EndpointsReceived&);
    // The others come to nothing where no process runs.
    void handle(const RequestReceived&);
    void handle(const ClientDisconnected&);
    void handle(const ConnectionAccepted&);
    void handle(const AttemptEstablished&);
    void handle(const AttemptEnded&);
    void handle(const LoadReported&);
    void handle(const LatencyReported&);
    void handle(const ServerSilent&);
    void handle(const ConnectionSilent&);
    void handle(const GossipReceived&);

    void start_process();
    void play(const Timer&);
    void on_attempt_timer(const AttemptTimer&);
    void end_attempt(uint64_t id, AttemptOutcome, bool is_silent = false);
    void perform_actions();
    void perform(const PendingAttempt&);
    void perform(const AnswerClient&);
    void set_attempt_timer(TimePoint at, uint64_t request, int attempt);
    void close_server_connection(uint64_t id, const ActiveRequest&);
    void send(const BalancerCommand&);
    ActiveRequest* find(uint64_t request);
    static bool is_pending_attempt(const ActiveRequest&, int attempt);
    bool accepts_new_requests(int server) const;

    const scenario::Scenario& scenario_;
    int number_;
    PolicyKind kind_;
    std::string record_to_;
    uint64_t seed_;
    uint64_t processes_started_ = 0;
    uint64_t next_order_ = 0;
    uint64_t digest_ = 0;
    uint64_t events_ = 0;
    TimePoint now_;
    TimePoint stalled_until_;
    std::unique_ptr<Policy> policy_;  // none where no process runs
    std::unordered_map<uint64_t, ActiveRequest> requests_;
    // The endpoint table: what the program looks at before it sends.
    std::vector<EndpointState> endpoint_states_;
    std::vector<bool> is_listed_;
    std::vector<Endpoint> known_endpoints_;  // what a new process starts from
    EarliestFirst<Timer> timers_;
    EarliestFirst<QueuedInput> inputs_;
    std::deque<PendingAction> pending_actions_;
    std::vector<BalancerOutput> outputs_;
    std::vector<GossipMessage> gossip_;
};

/// The index of a server by its id, `s-0007` or like.
int server_index_of(const ServerId&);

}  // namespace headrouter::simulation
