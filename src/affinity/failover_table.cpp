#include "affinity/failover_table.h"

namespace headrouter {

namespace {
constexpr size_t max_records = 2048;
constexpr Duration entry_lifetime = seconds(30);
}  // namespace

void FailoverTable::record(TimePoint now, const std::string& key, ServerIndex server, bool is_parked) {
    if (key.empty()) return;
    while (!state_.by_age.empty() &&
           (state_.by_age.size() >= max_records || now - state_.by_age.front().second > entry_lifetime)) {
        const auto& [oldest, recorded_at] = state_.by_age.front();
        const auto it = state_.entries.find(oldest);
        if (it != state_.entries.end() && it->second.at == recorded_at) state_.entries.erase(it);
        state_.by_age.pop_front();
    }
    state_.entries[key] = Entry{server, now, is_parked};
    state_.by_age.emplace_back(key, now);
}

const FailoverTable::Entry* FailoverTable::find(TimePoint now, const std::string& key) const {
    const auto it = state_.entries.find(key);
    if (it == state_.entries.end() || now - it->second.at > entry_lifetime) return nullptr;
    return &it->second;
}

}  // namespace headrouter
