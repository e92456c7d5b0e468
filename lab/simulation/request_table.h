/// The requests of a simulated world with their attempts at servers, as long as anything may still come of
/// them.
#pragma once
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

namespace headrouter::simulation {

struct SimulatedAttempt {
    int number = -1, server = -1;
    bool line_arrived = false;  // its first line has reached the server
    bool established = false;   // it was answered UP
};

struct SimulatedRequest {
    size_t session = 0;
    int balancer = -1;
    uint64_t life = 0;                       // of the balancer, by BalancerMailboxes
    std::vector<SimulatedAttempt> attempts;  // the latest last; before it those whose end is still on its way
    bool client_gone = false;

    SimulatedAttempt* attempt(int number);
};

class RequestTable {
   public:
    explicit RequestTable(int servers) : established_(static_cast<size_t>(servers)) {}

    void open(uint64_t id, size_t session, int balancer, uint64_t life);
    SimulatedRequest* find(uint64_t id);
    SimulatedRequest& at(uint64_t id) { return requests_.at(id); }
    void erase(uint64_t id) { requests_.erase(id); }

    /// Erases a request whose client and whose last attempt are gone.
    void erase_if_over(uint64_t id);

    void establish(uint64_t id, SimulatedAttempt&);

    /// Takes an attempt off its request; none where it is not there.
    std::optional<SimulatedAttempt> remove_attempt(uint64_t id, int number);

    /// Requests that are established on a server, in the order in which they were.
    const std::vector<uint64_t>& established_on(int server) const {
        return established_[static_cast<size_t>(server)];
    }
    /// The same, sorted.
    std::vector<uint64_t> sorted_established_on(int server) const;

    /// Request and attempt number of all attempts at a server, sorted.
    std::vector<std::pair<uint64_t, int>> attempts_at(int server) const;

    /// Requests that a balancer holds, sorted.
    std::vector<uint64_t> held_by(int balancer) const;

   private:
    std::unordered_map<uint64_t, SimulatedRequest> requests_;
    std::vector<std::vector<uint64_t>> established_;
};

}  // namespace headrouter::simulation
