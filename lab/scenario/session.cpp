#include "scenario/session.h"

#include <algorithm>
#include <cmath>

namespace headrouter::scenario {

double exponential(Pcg32& chance, double mean) { return -mean * std::log(chance.uniform()); }

namespace {

// Returns the factor by which incidents of the kind multiply the arrival rate (burst) or the work of a
// session (heavy) at a time.
double incident_factor(const Scenario& w, TimePoint at, IncidentKind kind, Pcg32& chance) {
    double times = 1;
    for (const Incident& t : w.incidents)
        if (t.kind == kind && at >= t.at && at < t.at + t.lasts &&
            (kind != IncidentKind::heavy || chance.uniform() < t.part))
            times *= t.size;
    return times;
}

Session draw_session(const Scenario& w, Pcg32& chance, uint64_t number, TimePoint at) {
    const Traffic& traffic = w.traffic;
    Session s;
    s.number = number;
    s.from = at;
    double all = 0;
    for (const RequestClassSpec& t : traffic.types) all += t.share;
    double pick = chance.uniform() * all;
    while (s.type + 1 < static_cast<int>(traffic.types.size()) && (pick -= traffic.types[s.type].share) > 0)
        ++s.type;
    const RequestClassSpec& row = traffic.types[s.type];
    s.until = at + seconds(exponential(chance, to_seconds(row.hold)));
    s.tenant = static_cast<int>(chance.uniform() * traffic.tenants);
    s.zone = static_cast<int>(chance.uniform() * w.zones);
    s.key = "k" + std::to_string(number);
    // Few groups are large and many small: a group's size is inversely proportional to its rank (Zipf's law).
    if (traffic.groups > 0)
        s.group = "g" + std::to_string(static_cast<int>(std::pow(traffic.groups, chance.uniform())));
    s.load = row.load * 1000 * (1 + traffic.load_spread * (2 * chance.uniform() - 1)) *
             incident_factor(w, at, IncidentKind::heavy, chance);
    return s;
}

}  // namespace

std::vector<Session> draw_sessions(const Scenario& w, uint64_t seed) {
    Pcg32 chance(seed, 11);
    double share = 0, load = 0, held = 0;
    for (const RequestClassSpec& t : w.traffic.types) {
        share += t.share;
        held += t.share * to_seconds(t.hold);
        load += t.share * t.load * 1000 * to_seconds(t.hold);
    }
    const double standing = w.traffic.use * capacity_of(w) * held / load;  // by Little's law
    const double rate = standing * share / held;
    std::vector<Session> all;
    const auto first = static_cast<int>(standing + chance.uniform());
    for (int k = 0; k < first; ++k)
        all.push_back(draw_session(w, chance, 0, TimePoint{} + w.traffic.ramp * chance.uniform()));
    // Arrivals are drawn at the highest rate and then thinned, so that a burst changes no other
    // session's time.
    double highest = 1;
    for (const Incident& t : w.incidents)
        if (t.kind == IncidentKind::burst) highest *= std::max(1.0, t.size);
    for (TimePoint at{};;) {
        at = at + seconds(exponential(chance, 1 / (rate * highest)));
        if (at >= TimePoint{} + w.length) break;
        if (chance.uniform() * highest < incident_factor(w, at, IncidentKind::burst, chance))
            all.push_back(draw_session(w, chance, 0, at));
    }
    std::stable_sort(all.begin(), all.end(),
                     [](const Session& a, const Session& b) { return a.from < b.from; });
    for (size_t k = 0; k < all.size(); ++k) {
        all[k].number = k;
        all[k].key = "k" + std::to_string(k);
    }
    return all;
}

std::optional<TimePoint> ClientRetryPolicy::if_still_wanted(TimePoint at) const {
    if (gave_up() || at >= until_) return {};
    return at;
}

std::optional<TimePoint> ClientRetryPolicy::after_busy(TimePoint now, Duration advised, Pcg32& chance) {
    if (advised.ns <= 0) return after_failure(now, chance);
    ++failed_;
    return if_still_wanted(now + advised);
}

std::optional<TimePoint> ClientRetryPolicy::after_failure(TimePoint now, Pcg32& chance) {
    ++failed_;
    const double doubled = static_cast<double>(1 << std::min(failed_ - 1, 6));
    return if_still_wanted(now + traffic_->back_off * (doubled * (0.5 + chance.uniform())));
}

std::optional<TimePoint> ClientRetryPolicy::after_break(TimePoint now, Pcg32& chance) {
    return if_still_wanted(now + traffic_->return_after * (0.5 + chance.uniform()));
}

}  // namespace headrouter::scenario
