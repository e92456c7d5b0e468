// Checks the four rules from the observations of clients, servers and discovery, never from what a balancer
// reports about itself. Observations must be passed in the order in which they were made; `slack` is the time
// by which sockets may exceed a limit. Thread-safe.
#pragma once
#include <array>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "scenario/scenario.h"

namespace headrouter::scenario {

enum class Rule {
    request_lost,
    executed_twice,
    concurrent_attempts,
    drain_broken,
    cold_server_overloaded,
    cut_without_move,
    how_many
};
const char* word(Rule);

enum class Answer { up, busy, failed, ended };

class InvariantChecker {
   public:
    InvariantChecker(const Scenario&, Duration slack);

    // Observations of clients.
    void opened(TimePoint at, uint64_t id, int type, int balancer);
    void answered(TimePoint at, uint64_t id, Answer);
    void line_after_answer(TimePoint at, uint64_t id);
    void client_left(uint64_t id, bool waited);  // `waited`: until the request's deadline
    // An established connection ended without MOVE or BYE.
    void cut(TimePoint at, uint64_t id, bool server_answers);
    void balancer_died(int balancer);
    // Conditions under which a violation is not the balancer's fault. A stalled process cannot answer the
    // requests that it held or was offered during the stall, and reads list changes only after the stall. A
    // process that left in order restarts without state. On a faulty path the server sees attempts begin and
    // end at other times than the balancer.
    void excuse_held(int balancer);
    void went_on(TimePoint stalled_from, TimePoint now, int balancer);
    void started_anew(int balancer);
    // `absent`: no process runs, but the relay in front of it still accepts connections.
    void absent(int balancer, bool);
    void path_at_fault(int balancer, int server, bool);

    // Observations of servers: the first byte (began) and the last byte (ran) of a request's first line, a
    // rejection, and the end of the attempt.
    void attempt_began(TimePoint at, uint64_t id, int server, int balancer);
    void attempt_ran(TimePoint at, uint64_t id, int server);
    void attempt_rejected(uint64_t id, int server);
    void attempt_ended(TimePoint at, uint64_t id, int server);
    void fell(TimePoint, int server);  // the server failed from overload during its slow start

    // Observations of discovery: list changes that it has sent to a balancer, or that count as sent.
    void told_unwanted(TimePoint, int balancer, int server);
    void told_wanted(int balancer, int server);

    void message(int type, Duration delay, uint64_t times = 1);
    void finish(TimePoint);  // reports requests that are unanswered and attempts that overlap at the end

    uint64_t broken(Rule r) const { return broken_counts_[static_cast<size_t>(r)]; }
    uint64_t broken() const;
    const std::vector<std::string>& examples() const { return examples_; }
    uint64_t requests() const { return requests_taken_; }
    TimePoint opened_at(uint64_t id) const;
    // Returns a quantile of the message delays, from buckets whose bounds grow by a factor of 1.2.
    Duration delay_quantile(int type, double q) const;

   private:
    struct Attempt {
        int server = -1;
        TimePoint began, ran_at, over_at;
        bool ran = false, rejected = false, over = false, path_faulty = false;
    };
    struct Request {
        TimePoint opened;
        int type = 0, balancer = 0;
        bool answered = false, client_gone = false, excused = false, up = false;
        std::vector<Attempt> attempts;
    };
    Request* find(uint64_t);
    Attempt* find_open_attempt(uint64_t id, int server);
    void forget_if_finished(uint64_t);  // drops a request that can no longer break a rule
    void record_violation(Rule, TimePoint, const std::string& what);
    void check_overlap(TimePoint, uint64_t id, const Request&, size_t ended);

    bool path_faulty(int balancer, int server) const { return faulty_paths_.contains({balancer, server}); }

    const Scenario* world_;
    Duration slack_;
    mutable std::mutex mutex_;
    std::set<std::pair<int, int>> faulty_paths_;
    std::set<int> absent_;
    std::unordered_map<uint64_t, Request> requests_;
    // By balancer and server: when discovery told the balancer to stop using the server.
    std::map<std::pair<int, int>, TimePoint> drained_since_;
    std::array<uint64_t, static_cast<size_t>(Rule::how_many)> broken_counts_{};
    std::vector<std::string> examples_;
    std::set<int> overloaded_;
    uint64_t requests_taken_ = 0;
    std::vector<std::map<int, uint64_t>> delay_counts_;
};

}  // namespace headrouter::scenario
