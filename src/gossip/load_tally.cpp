#include "gossip/load_tally.h"

#include <algorithm>
#include <utility>

namespace headrouter::gossip {

void LoadTally::RobustSum::add(double load) {
    sum += load;
    second_largest = std::max(second_largest, std::min(largest, load));
    largest = std::max(largest, load);
}

void LoadTally::add(const RoundReport& report, int replica_count) {
    if (state_.round != report.round) {
        state_ = State{};
        state_.round = report.round;
    }
    state_.has_reported.resize(static_cast<size_t>(replica_count));
    const bool is_duplicate =
        std::exchange(state_.has_reported[static_cast<size_t>(report.replica_index)], 1) != 0;
    if (is_duplicate) return;
    state_.total.add(report.total_load);
    for (const IndexedLoad& row : report.loads) {
        const size_t server = row.server.value();
        if (server >= state_.servers.size()) state_.servers.resize(server + 1);
        state_.servers[server].add(row.load);
    }
}

size_t LoadTally::reporter_count() const {
    return static_cast<size_t>(std::count(state_.has_reported.begin(), state_.has_reported.end(), 1));
}

std::vector<IndexedLoad> LoadTally::loads_above(double threshold) const {
    std::vector<IndexedLoad> loads;
    for (size_t k = 0; k < state_.servers.size(); ++k)
        if (state_.servers[k].value() > threshold)
            loads.push_back({ServerIndex{k}, state_.servers[k].value()});
    return loads;
}

}  // namespace headrouter::gossip
