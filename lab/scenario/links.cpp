#include "scenario/links.h"

#include <algorithm>

#include "gossip/gossip_message.h"

namespace headrouter::scenario {

namespace {
// Delay of a repeated or reordered copy if the fault has no span.
constexpr Duration default_lag = millis(20);
constexpr int max_corrupted_bytes = 3;
}  // namespace

namespace {

// Returns the message with false values: the load of each server that it names, or the headroom of every
// server if it reports headroom.
std::string with_false_loads(const std::string& bytes, int how) {
    enum { empty, full, one_empty };
    constexpr double false_load = 500;
    std::optional<gossip::Message> parsed = gossip::parse_message(bytes);
    if (!parsed) return bytes;
    gossip::Message& message = *parsed;
    for (size_t k = 0; k < message.loads.size(); ++k)
        message.loads[k].load = how == empty || (how == one_empty && k == 0) ? 0.25 : false_load;
    for (size_t k = 0; k < message.headroom.size(); ++k)
        message.headroom[k] =
            how == empty || (how == one_empty && k == message.headroom.size() / 2) ? gossip::max_headroom : 0;
    const double total = how == empty ? 1 : false_load * static_cast<double>(message.loads.size());
    switch (message.kind) {
        case gossip::MessageKind::round_counts:
        case gossip::MessageKind::round_sum:
            return gossip::encode_round_loads(message.kind, message.round, message.reporter_count, total,
                                              message.loads);
        case gossip::MessageKind::load_report:
            return gossip::encode_load_report(message.timestamp, message.loads);
        case gossip::MessageKind::headroom:
            return gossip::encode_headroom(message.timestamp, message.list_checksum, message.headroom);
        default: return bytes;
    }
}

}  // namespace

Links::Links(const std::vector<FaultInjection>& injections, int balancers, uint64_t seed)
    : balancers_(balancers), chance_(seed, 67) {
    for (const FaultInjection& s : injections) {
        if (!is_of_datagrams(s.fault.kind)) continue;
        AffectedLinks& k = affected_.emplace_back(AffectedLinks{
            s, std::vector<char>(static_cast<size_t>(balancers)), static_cast<int>(s.fault.size)});
        for (const int b : s.balancers) k.is_affected[static_cast<size_t>(b)] = 1;
    }
}

// An isolated balancer still reaches the balancers with the next numbers, so that no random draw is
// needed for each link.
bool Links::reachable_alone(const AffectedLinks& k, int balancer, int other) const {
    if (!k.is_affected[static_cast<size_t>(balancer)]) return true;
    return (other - balancer + balancers_) % balancers_ <= k.reachable;
}

void Links::corrupt(std::string& bytes) {
    if (bytes.empty()) return;
    if (chance_.uniform() < 0.25)
        return bytes.resize(static_cast<size_t>(chance_.uniform() * static_cast<double>(bytes.size())));
    const int n = 1 + static_cast<int>(chance_.uniform() * max_corrupted_bytes);
    for (int k = 0; k < n; ++k)
        bytes[static_cast<size_t>(chance_.uniform() * static_cast<double>(bytes.size()))] ^=
            static_cast<char>(1 + chance_.next() % 255);
}

std::vector<Links::Passed> Links::carry(TimePoint now, int from, int to, std::string_view bytes) {
    std::vector<Passed> passed{{Duration{}, std::string(bytes)}};
    for (const AffectedLinks& k : affected_) {
        const Fault& f = k.injection.fault;
        if (!k.injection.at(now) || passed.empty()) continue;
        const bool sender_affected = k.is_affected[static_cast<size_t>(from)],
                   receiver_affected = k.is_affected[static_cast<size_t>(to)];
        if (f.kind == FaultKind::split) {
            if (sender_affected != receiver_affected) passed.clear();
            continue;
        }
        if (f.kind == FaultKind::alone) {
            if (!reachable_alone(k, from, to) || !reachable_alone(k, to, from)) passed.clear();
            continue;
        }
        if (!(f.way != Way::in && sender_affected) && !(f.way != Way::out && receiver_affected)) continue;
        const Duration lag = f.span.ns > 0 ? f.span : default_lag;
        switch (f.kind) {
            case FaultKind::drop:
                std::erase_if(passed, [&](const Passed&) { return chance_.uniform() < f.size; });
                break;
            case FaultKind::delay:
                for (Passed& p : passed) p.later = p.later + f.span + f.spread * chance_.uniform();
                break;
            case FaultKind::repeat:
                if (chance_.uniform() < f.size)
                    passed.push_back({passed.front().later + lag, passed.front().bytes});
                break;
            case FaultKind::reorder:
                for (Passed& p : passed)
                    if (chance_.uniform() < f.size) p.later = p.later + lag;
                break;
            case FaultKind::lie:
                if (sender_affected)
                    for (Passed& p : passed) p.bytes = with_false_loads(p.bytes, static_cast<int>(f.size));
                break;
            case FaultKind::spoil:
                for (Passed& p : passed)
                    if (chance_.uniform() < f.size) corrupt(p.bytes);
                break;
            default: break;
        }
    }
    return passed;
}

}  // namespace headrouter::scenario
