#include "scenario/invariant_checker.h"

#include <algorithm>
#include <cmath>

namespace headrouter::scenario {

namespace {
constexpr size_t max_examples = 12;
constexpr double delay_bucket_factor = 1.2;  // ratio of the bounds of neighbouring delay buckets
}  // namespace

const char* word(Rule r) {
    constexpr std::array words{"call_lost",    "effect_twice", "two_legs",
                               "drain_broken", "cold_fell",    "cut_without_move"};
    return words[static_cast<size_t>(r)];
}

InvariantChecker::InvariantChecker(const Scenario& w, Duration slack)
    : world_(&w), slack_(slack), delay_counts_(w.traffic.types.size()) {}

InvariantChecker::Request* InvariantChecker::find(uint64_t id) {
    const auto it = requests_.find(id);
    return it == requests_.end() ? nullptr : &it->second;
}

TimePoint InvariantChecker::opened_at(uint64_t id) const {
    const std::lock_guard lock(mutex_);
    const auto it = requests_.find(id);
    return it == requests_.end() ? TimePoint{} : it->second.opened;
}

void InvariantChecker::record_violation(Rule r, TimePoint at, const std::string& what) {
    ++broken_counts_[static_cast<size_t>(r)];
    if (examples_.size() < max_examples)
        examples_.push_back(std::string(word(r)) + " at " + std::to_string(to_seconds(at - TimePoint{})) +
                            " s: " + what);
}

uint64_t InvariantChecker::broken() const {
    const std::lock_guard lock(mutex_);
    uint64_t all = 0;
    for (const uint64_t n : broken_counts_) all += n;
    return all;
}

void InvariantChecker::opened(TimePoint at, uint64_t id, int type, int balancer) {
    const std::lock_guard lock(mutex_);
    Request& request = requests_[id];
    request.opened = at;
    request.type = type;
    request.balancer = balancer;
    request.excused = absent_.contains(balancer);
    ++requests_taken_;
}

void InvariantChecker::answered(TimePoint at, uint64_t id, Answer what) {
    const std::lock_guard lock(mutex_);
    Request* request = find(id);
    if (!request) return;
    if (what == Answer::ended) {  // the end of an established connection, or of an unanswered request
        if (!request->up && !request->answered && !request->excused)
            record_violation(Rule::request_lost, at,
                             "request " + std::to_string(id) + " ended without an answer");
        request->answered = request->client_gone = true;
        return forget_if_finished(id);
    }
    const Duration deadline = world_->traffic.types[request->type].deadline;
    if (request->answered)
        record_violation(Rule::request_lost, at, "request " + std::to_string(id) + " was answered twice");
    else if (!request->excused && at - request->opened > deadline + slack_)
        record_violation(Rule::request_lost, at,
                         "request " + std::to_string(id) + " was answered after its deadline");
    request->answered = true;
    request->up = what == Answer::up;
    if (what != Answer::up) request->client_gone = true;
    forget_if_finished(id);
}

void InvariantChecker::line_after_answer(TimePoint at, uint64_t id) {
    const std::lock_guard lock(mutex_);
    record_violation(Rule::request_lost, at,
                     "request " + std::to_string(id) + " received a line after its final answer");
}

// A client that leaves after waiting until the deadline leaves its request unanswered, which breaks a rule;
// one that leaves earlier needs no answer.
void InvariantChecker::client_left(uint64_t id, bool waited) {
    const std::lock_guard lock(mutex_);
    Request* request = find(id);
    if (!request) return;
    if (!waited) request->excused = request->answered = true;
    request->client_gone = true;
    forget_if_finished(id);
}

void InvariantChecker::cut(TimePoint at, uint64_t id, bool server_answers) {
    const std::lock_guard lock(mutex_);
    Request* request = find(id);
    if (!request) return;
    if (server_answers && !request->excused)
        record_violation(Rule::cut_without_move, at,
                         "request " + std::to_string(id) +
                             " lost its connection without MOVE though its server still answers");
    request->client_gone = true;
    forget_if_finished(id);
}

void InvariantChecker::balancer_died(int balancer) {
    const std::lock_guard lock(mutex_);
    std::vector<uint64_t> held;
    for (auto& [id, request] : requests_)
        if (request.balancer == balancer)
            request.excused = request.client_gone = request.answered = true, held.push_back(id);
    for (const uint64_t id : held) forget_if_finished(id);
    std::erase_if(drained_since_, [&](const auto& entry) { return entry.first.first == balancer; });
}

void InvariantChecker::excuse_held(int balancer) {
    const std::lock_guard lock(mutex_);
    for (auto& [id, request] : requests_)
        if (request.balancer == balancer) request.excused = true;
}

// The balancer reads only now the list changes that were sent during its stall, so their grace starts now;
// the grace of earlier changes keeps its start.
void InvariantChecker::went_on(TimePoint stalled_from, TimePoint now, int balancer) {
    excuse_held(balancer);
    const std::lock_guard lock(mutex_);
    for (auto& [id, request] : requests_)  // established connections are its responsibility again
        if (request.balancer == balancer && request.up) request.excused = false;
    for (auto& [pair, since] : drained_since_)
        if (pair.first == balancer && since >= stalled_from) since = now;
}

void InvariantChecker::started_anew(int balancer) {
    const std::lock_guard lock(mutex_);
    std::erase_if(drained_since_, [&](const auto& entry) { return entry.first.first == balancer; });
}

void InvariantChecker::absent(int balancer, bool is) {
    const std::lock_guard lock(mutex_);
    is ? void(absent_.insert(balancer)) : void(absent_.erase(balancer));
}

void InvariantChecker::path_at_fault(int balancer, int server, bool at_fault) {
    const std::lock_guard lock(mutex_);
    at_fault ? void(faulty_paths_.insert({balancer, server})) : void(faulty_paths_.erase({balancer, server}));
}

void InvariantChecker::attempt_began(TimePoint at, uint64_t id, int server, int balancer) {
    const std::lock_guard lock(mutex_);
    const auto drained = drained_since_.find({balancer, server});
    if (drained != drained_since_.end() && !path_faulty(balancer, server) &&
        at - drained->second > world_->drain_grace + slack_)
        record_violation(Rule::drain_broken, at,
                         server_name(server) + " received request " + std::to_string(id) + " " +
                             std::to_string(to_seconds(at - drained->second)) +
                             " s after the balancer learned that it drains or is gone");
    Request* request = find(id);
    if (!request) return;
    Attempt attempt;
    attempt.server = server;
    attempt.began = at;
    attempt.path_faulty = path_faulty(balancer, server);
    request->attempts.push_back(attempt);
}

InvariantChecker::Attempt* InvariantChecker::find_open_attempt(uint64_t id, int server) {
    Request* request = find(id);
    if (!request) return nullptr;
    const auto open = std::find_if(request->attempts.rbegin(), request->attempts.rend(),
                                   [&](const Attempt& a) { return a.server == server && !a.over; });
    return open == request->attempts.rend() ? nullptr : &*open;
}

// Rule 2: a request has a second effect if an earlier attempt ran, was not rejected, and neither idempotency
// nor the server's deduplication window makes running it again harmless.
void InvariantChecker::attempt_ran(TimePoint at, uint64_t id, int server) {
    const std::lock_guard lock(mutex_);
    Attempt* attempt = find_open_attempt(id, server);
    if (!attempt) return;
    attempt->ran = true;
    attempt->ran_at = at;
    const Request& request = *find(id);
    const RequestClassSpec& type = world_->traffic.types[request.type];
    if (type.idempotency == Idempotency::idempotent) return;
    for (const Attempt& before : request.attempts) {
        if (&before == attempt || !before.ran || before.rejected) continue;
        const int zones = world_->zones, cells = world_->cells;
        const bool inside = type.dedup_scope == DedupScope::all ||
                            (type.dedup_scope == DedupScope::zone ? before.server % zones == server % zones
                                                                  : before.server % cells == server % cells);
        const bool known = type.idempotency == Idempotency::keyed && inside &&
                           at - before.ran_at <= type.dedup_window + slack_;
        if (known) continue;
        record_violation(Rule::executed_twice, at,
                         "request " + std::to_string(id) + " ran at " + server_name(before.server) +
                             " and at " + server_name(server));
        return;
    }
}

void InvariantChecker::attempt_rejected(uint64_t id, int server) {
    const std::lock_guard lock(mutex_);
    if (Attempt* attempt = find_open_attempt(id, server)) attempt->rejected = true;
}

// Two attempts count as concurrent if the first ends later than the second begins by more than the slack. The
// end of one connection and the beginning of the next are observed at two servers, in either order.
void InvariantChecker::check_overlap(TimePoint at, uint64_t id, const Request& request, size_t ended) {
    const Attempt& first = request.attempts[ended];
    if (first.path_faulty || path_faulty(request.balancer, first.server)) return;
    for (size_t k = ended + 1; k < request.attempts.size(); ++k)
        if (!request.attempts[k].path_faulty && request.attempts[k].began + slack_ < at && !first.rejected)
            return record_violation(Rule::concurrent_attempts, at,
                                    "request " + std::to_string(id) + " had concurrent attempts at " +
                                        server_name(first.server) + " and at " +
                                        server_name(request.attempts[k].server));
}

void InvariantChecker::attempt_ended(TimePoint at, uint64_t id, int server) {
    const std::lock_guard lock(mutex_);
    Attempt* attempt = find_open_attempt(id, server);
    if (!attempt) return;
    Request& request = *find(id);
    attempt->over = true;
    attempt->over_at = at;
    check_overlap(at, id, request, static_cast<size_t>(attempt - request.attempts.data()));
    forget_if_finished(id);
}

void InvariantChecker::fell(TimePoint at, int server) {
    const std::lock_guard lock(mutex_);
    if (overloaded_.insert(server).second)
        record_violation(Rule::cold_server_overloaded, at,
                         server_name(server) + " failed from overload during its slow start");
}

void InvariantChecker::told_unwanted(TimePoint at, int balancer, int server) {
    const std::lock_guard lock(mutex_);
    drained_since_.emplace(std::pair{balancer, server}, at);
}
void InvariantChecker::told_wanted(int balancer, int server) {
    const std::lock_guard lock(mutex_);
    drained_since_.erase({balancer, server});
}

void InvariantChecker::forget_if_finished(uint64_t id) {
    const Request* request = find(id);
    if (!request || !request->answered || !request->client_gone) return;
    for (const Attempt& attempt : request->attempts)
        if (!attempt.over) return;
    requests_.erase(id);
}

void InvariantChecker::message(int type, Duration delay, uint64_t times) {
    const std::lock_guard lock(mutex_);
    const double ms = std::max(0.01, to_seconds(delay) * 1000);
    delay_counts_[type][static_cast<int>(std::ceil(std::log(ms) / std::log(delay_bucket_factor)))] += times;
}

Duration InvariantChecker::delay_quantile(int type, double q) const {
    uint64_t all = 0, passed = 0;
    for (const auto& [at, n] : delay_counts_[type]) all += n;
    for (const auto& [at, n] : delay_counts_[type]) {
        passed += n;
        if (static_cast<double>(passed) >= q * static_cast<double>(all))
            return millis(std::pow(delay_bucket_factor, at));
    }
    return {};
}

void InvariantChecker::finish(TimePoint at) {
    const std::lock_guard lock(mutex_);
    std::vector<uint64_t> unanswered;
    for (const auto& [id, request] : requests_) {
        const Duration deadline = world_->traffic.types[request.type].deadline;
        if (!request.answered && !request.excused && at - request.opened > deadline + slack_)
            unanswered.push_back(id);
        for (size_t k = 0; k < request.attempts.size(); ++k)
            if (!request.attempts[k].over) check_overlap(at, id, request, k);
    }
    std::sort(unanswered.begin(), unanswered.end());
    for (const uint64_t id : unanswered)
        record_violation(Rule::request_lost, at, "request " + std::to_string(id) + " was never answered");
}

}  // namespace headrouter::scenario
