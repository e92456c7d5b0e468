#include "fleet/outcome.h"

namespace headrouter::fleet {

void Outcome::sample(const World& w, Instant at, double asked_now, double served_now) {
    const auto second = static_cast<size_t>(at.ns / 1'000'000'000);
    if (asked_each.size() <= second) asked_each.resize(second + 1), served_each.resize(second + 1);
    asked_each[second] += asked_now;
    served_each[second] += served_now;
    if (at < Instant{} + w.judged_from) return;
    asked += asked_now;
    served += served_now;
}

void Outcome::judge(const World& w, const Ledger& ledger) {
    for (size_t r = 0; r < static_cast<size_t>(Rule::how_many); ++r)
        rules.push_back(ledger.broken(static_cast<Rule>(r)));
    examples = ledger.examples();
    for (size_t k = 0; k < w.traffic.types.size(); ++k) {
        const int type = static_cast<int>(k);
        delay_median.push_back(ledger.delay_quantile(type, 0.5));
        delay_95.push_back(ledger.delay_quantile(type, 0.95));
        delay_99.push_back(ledger.delay_quantile(type, 0.99));
    }
}

}  // namespace headrouter::fleet
