#include "simulation/request_table.h"

#include <algorithm>

namespace headrouter::simulation {

SimulatedAttempt* SimulatedRequest::attempt(int number) {
    const auto it = std::find_if(attempts.begin(), attempts.end(),
                                 [&](const SimulatedAttempt& attempt) { return attempt.number == number; });
    return it == attempts.end() ? nullptr : &*it;
}

void RequestTable::open(uint64_t id, size_t session, int balancer, uint64_t life) {
    requests_[id] = {session, balancer, life, {}, false};
}

SimulatedRequest* RequestTable::find(uint64_t id) {
    const auto it = requests_.find(id);
    return it == requests_.end() ? nullptr : &it->second;
}

void RequestTable::erase_if_over(uint64_t id) {
    const SimulatedRequest* request = find(id);
    if (request && request->client_gone && request->attempts.empty()) erase(id);
}

void RequestTable::establish(uint64_t id, SimulatedAttempt& attempt) {
    attempt.established = true;
    established_[static_cast<size_t>(attempt.server)].push_back(id);
}

std::optional<SimulatedAttempt> RequestTable::remove_attempt(uint64_t id, int number) {
    SimulatedRequest* request = find(id);
    const SimulatedAttempt* found = request ? request->attempt(number) : nullptr;
    if (!found) return std::nullopt;
    const SimulatedAttempt removed = *found;
    std::erase_if(request->attempts,
                  [&](const SimulatedAttempt& attempt) { return attempt.number == number; });
    if (removed.established) std::erase(established_[static_cast<size_t>(removed.server)], id);
    return removed;
}

std::vector<uint64_t> RequestTable::sorted_established_on(int server) const {
    std::vector<uint64_t> sorted = established_on(server);
    std::sort(sorted.begin(), sorted.end());
    return sorted;
}

std::vector<std::pair<uint64_t, int>> RequestTable::attempts_at(int server) const {
    std::vector<std::pair<uint64_t, int>> all;
    for (const auto& [id, request] : requests_)
        for (const SimulatedAttempt& attempt : request.attempts)
            if (attempt.server == server) all.emplace_back(id, attempt.number);
    std::sort(all.begin(), all.end());
    return all;
}

std::vector<uint64_t> RequestTable::held_by(int balancer) const {
    std::vector<uint64_t> held;
    for (const auto& [id, request] : requests_)
        if (request.balancer == balancer) held.push_back(id);
    std::sort(held.begin(), held.end());
    return held;
}

}  // namespace headrouter::simulation
