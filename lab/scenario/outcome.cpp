#include "scenario/outcome.h"

namespace headrouter::scenario {

void Outcome::sample(const Scenario& w, TimePoint at, double asked_now, double served_now) {
    const auto second = static_cast<size_t>(at.ns / 1'000'000'000);
    if (asked_each.size() <= second) asked_each.resize(second + 1), served_each.resize(second + 1);
    asked_each[second] += asked_now;
    served_each[second] += served_now;
    if (at < TimePoint{} + w.judged_from) return;
    asked += asked_now;
    served += served_now;
}

void Outcome::judge(const Scenario& w, const InvariantChecker& checker) {
    for (size_t r = 0; r < static_cast<size_t>(Rule::how_many); ++r)
        rules.push_back(checker.broken(static_cast<Rule>(r)));
    examples = checker.examples();
    for (size_t k = 0; k < w.traffic.types.size(); ++k) {
        const int type = static_cast<int>(k);
        delay_median.push_back(checker.delay_quantile(type, 0.5));
        delay_95.push_back(checker.delay_quantile(type, 0.95));
        delay_99.push_back(checker.delay_quantile(type, 0.99));
    }
}

double Outcome::service_between(TimePoint from, TimePoint until) const {
    double wanted = 0, had = 0;
    for (size_t s = 0; s < asked_each.size(); ++s) {
        const TimePoint begin = TimePoint{} + seconds(static_cast<double>(s));
        if (begin < from || begin + seconds(1) > until) continue;
        wanted += asked_each[s], had += served_each[s];
    }
    return wanted > 0 ? had / wanted : 0;
}

// Measures three stretches: before the first fault (from the start of judging, or 4 s before the fault if
// that is earlier), from the first fault to the end of the last one (at least 1 s), and from 8 to 12 s after
// that, when the fleet should have recovered.
void Outcome::judge_spread(const Scenario& w, const SpreadLog& log) {
    std::vector<double> weights;
    double all = 0;
    for (const int k : kinds_of(w))
        weights.push_back(w.kinds[static_cast<size_t>(k)].weight), all += weights.back();
    for (double& weight : weights) weight *= static_cast<double>(weights.size()) / std::max(all, 1e-9);
    const TimePoint begin = TimePoint{} + w.judged_from, end = TimePoint{} + w.length;
    spread = spread_of(log, weights, begin, end, seed);
    load_each = log.loads();
    if (injections.empty()) return;
    TimePoint first = end, last{};
    for (const FaultInjection& s : injections)
        first = std::min(first, s.from), last = std::max(last, s.until);
    const auto stretch = [&](const char* name, TimePoint from, TimePoint until) {
        if (until > end) until = end;
        if (from < until)
            stretches.push_back({name, from, until, spread_of(log, weights, from, until, seed),
                                 service_between(from, until)});
    };
    stretch("before", std::min(begin, first - seconds(4)), first);
    stretch("during", first, std::max(last, first + seconds(1)));
    stretch("after", last + seconds(8), last + seconds(12));
}

void Outcome::add(const Outcome& o) {
    asked += o.asked, served += o.served;
    const auto sum = [](std::vector<double>& a, const std::vector<double>& b) {
        if (a.size() < b.size()) a.resize(b.size());
        for (size_t k = 0; k < b.size(); ++k) a[k] += b[k];
    };
    sum(asked_each, o.asked_each), sum(served_each, o.served_each);
    for (uint64_t Outcome::*count : {&Outcome::up, &Outcome::up_in_time, &Outcome::busy, &Outcome::failed,
                                     &Outcome::moved, &Outcome::broken, &Outcome::gave_up, &Outcome::attempts,
                                     &Outcome::left_waiting, &Outcome::sent_after_left})
        this->*count += o.*count;
}

}  // namespace headrouter::scenario
