#include "simulation/baseline.h"

#include <algorithm>
#include <cmath>

namespace headrouter::simulation {

namespace {
constexpr Duration passed_over = seconds(1);
constexpr double leg_part = 0.5;  // of the time left, for an attempt that another may follow
}  // namespace

Baseline::Baseline(PolicyKind kind, PolicyConfig told, uint64_t seed, PolicyActions& out)
    : kind_(kind), told_(std::move(told)), chance_(seed), out_(out) {}

void Baseline::on_request(TimePoint now, Request request) {
    Held& held = requests_[request.id];
    held.request = std::move(request);
    try_next(now, held);
}

bool Baseline::may_try(TimePoint now, const Held& held) const {
    if (held.attempts >= told_.max_attempts || now >= held.request.deadline) return false;
    const RequestClass& type = told_.request_classes[held.request.type];
    if (held.first_run < 0 || type.idempotency == Idempotency::idempotent) return true;
    return type.idempotency == Idempotency::keyed && now - held.first_run_at < type.dedup_window;
}

bool Baseline::fits(const Held& held, const Place& p) const {
    if (p.listed.state != EndpointState::active) return false;
    const RequestClass& type = told_.request_classes[held.request.type];
    if (held.first_run < 0 || type.idempotency != Idempotency::keyed || type.dedup_scope == DedupScope::all)
        return true;
    const Endpoint& first = places_[held.first_run].listed;
    return type.dedup_scope == DedupScope::zone ? first.zone == p.listed.zone : first.cell == p.listed.cell;
}

int Baseline::choose(TimePoint now, const Held& held) {
    std::vector<int> open;
    for (const bool desperate : {false, true}) {
        for (int k = 0; k < static_cast<int>(places_.size()); ++k)
            if (fits(held, places_[k]) &&
                (desperate || (now >= places_[k].passed_over_until && k != held.server)))
                open.push_back(k);
        if (!open.empty()) break;
    }
    if (open.empty()) return -1;
    const auto weighted = [&] {
        double all = 0;
        for (const int k : open) all += std::max(places_[k].listed.weight, 1e-3);
        double pick = chance_.uniform() * all;
        for (const int k : open)
            if ((pick -= std::max(places_[k].listed.weight, 1e-3)) <= 0) return k;
        return open.back();
    };
    if (kind_ == PolicyKind::random) return weighted();
    if (kind_ == PolicyKind::two_choices) {
        const int a = weighted(), b = weighted();
        return relative_load(places_[a]) <= relative_load(places_[b]) ? a : b;
    }
    int best = -1;
    double least = 0;
    for (const int k : open) {
        double rank = 0;
        if (kind_ == PolicyKind::least_connections) {
            rank = relative_load(places_[k]) + chance_.uniform() * 1e-3;
        } else {
            uint64_t seed = 1469598103934665603ULL;
            for (const char c : held.request.key)
                seed = (seed ^ static_cast<unsigned char>(c)) * 1099511628211ULL;
            for (const char c : places_[k].listed.server)
                seed = (seed ^ static_cast<unsigned char>(c)) * 1099511628211ULL;
            rank = -std::log(Pcg32(seed).uniform()) / std::max(places_[k].listed.weight, 1e-3);
        }
        if (best < 0 || rank < least) best = k, least = rank;
    }
    return best;
}

void Baseline::try_next(TimePoint now, Held& held) {
    const int k = may_try(now, held) ? choose(now, held) : -1;
    if (k < 0) return end(held, held.first_run >= 0);
    held.server = k;
    ++held.attempts;
    ++places_[k].connections;
    const Duration left = held.request.deadline - now;
    out_.start_attempt(held.request.id, places_[k].listed.server,
                       held.attempts < told_.max_attempts ? left * leg_part : left);
}

void Baseline::end(Held& held, bool run_maybe) {
    const RequestClass& type = told_.request_classes[held.request.type];
    const RequestId id = held.request.id;
    if (!run_maybe || type.idempotency == Idempotency::idempotent)
        out_.reject(id, told_.advises_retry_after ? told_.max_retry_after * (0.3 + 0.7 * chance_.uniform())
                                                  : Duration{});
    else
        out_.fail(id);
    requests_.erase(id);
}

void Baseline::on_client_gone(TimePoint, RequestId id) {
    const auto it = requests_.find(id);
    if (it == requests_.end()) return;
    --places_[it->second.server].connections;
    requests_.erase(it);
}

void Baseline::on_attempt_established(TimePoint now, RequestId id, int, Duration) {
    const auto it = requests_.find(id);
    if (it != requests_.end()) places_[it->second.server].passed_over_until = now;
}

void Baseline::on_attempt_ended(TimePoint now, RequestId id, int, AttemptOutcome ending, Duration,
                                bool final) {
    const auto it = requests_.find(id);
    if (it == requests_.end()) return;
    Held& held = it->second;
    Place& place = places_[held.server];
    --place.connections;
    if (ending != AttemptOutcome::completed && ending != AttemptOutcome::cancelled)
        place.passed_over_until = now + passed_over;
    if (final) return void(requests_.erase(it));
    const bool never = ending == AttemptOutcome::at_capacity || ending == AttemptOutcome::connect_failed ||
                       ending == AttemptOutcome::not_sent;
    if (!never && held.first_run < 0) held.first_run = held.server, held.first_run_at = now;
    try_next(now, held);
}

void Baseline::on_endpoints(TimePoint, EndpointUpdateKind kind, const std::vector<Endpoint>& entries) {
    if (kind == EndpointUpdateKind::error) return;
    if (kind != EndpointUpdateKind::delta)
        for (Place& p : places_) p.listed.state = EndpointState::removed;
    for (const Endpoint& entry : entries) {
        const auto [it, is_new] = index_.emplace(entry.server, static_cast<int>(places_.size()));
        if (is_new) places_.emplace_back();
        places_[it->second].listed = entry;
    }
}

}  // namespace headrouter::simulation
