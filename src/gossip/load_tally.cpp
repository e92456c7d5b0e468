#include "gossip/load_tally.h"

#include <algorithm>
#include <utility>

namespace headrouter::gossip {

void LoadTally::RobustSum::add(double load) {
    sum_ += load;
    second_largest_ = std::max(second_largest_, std::min(largest_, load));
    largest_ = std::max(largest_, load);
}

void LoadTally::add(const RoundReport& report, int replica_count) {
    if (round_ != report.round) {
        *this = LoadTally{};
        round_ = report.round;
    }
    has_reported_.resize(static_cast<size_t>(replica_count));
    const bool is_duplicate = std::exchange(has_reported_[static_cast<size_t>(report.replica_index)], 1) != 0;
    if (is_duplicate) return;
    total_.add(report.total_load);
    for (const IndexedLoad& row : report.loads) {
        const size_t server = row.server.value();
        if (server >= servers_.size()) servers_.resize(server + 1);
        servers_[server].add(row.load);
    }
}

size_t LoadTally::reporter_count() const {
    return static_cast<size_t>(std::count(has_reported_.begin(), has_reported_.end(), 1));
}

std::vector<IndexedLoad> LoadTally::loads_above(double threshold) const {
    std::vector<IndexedLoad> loads;
    for (size_t k = 0; k < servers_.size(); ++k)
        if (servers_[k].value() > threshold) loads.push_back({ServerIndex{k}, servers_[k].value()});
    return loads;
}

}  // namespace headrouter::gossip
