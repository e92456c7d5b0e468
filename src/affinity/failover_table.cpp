#include "affinity/failover_table.h"

namespace headrouter {

namespace {
constexpr size_t most_keys = 2048;
constexpr Duration entry_lifetime = seconds(30);
}  // namespace

void FailoverTable::record(TimePoint now, const std::string& key, ServerIndex server, bool is_parked) {
    if (key.empty()) return;
    while (!by_age_.empty() &&
           (by_age_.size() >= most_keys || now - by_age_.front().second > entry_lifetime)) {
        const auto& [oldest, recorded_at] = by_age_.front();
        const auto it = entries_.find(oldest);
        if (it != entries_.end() && it->second.at == recorded_at) entries_.erase(it);
        by_age_.pop_front();
    }
    entries_[key] = Entry{server, now, is_parked};
    by_age_.emplace_back(key, now);
}

const FailoverTable::Entry* FailoverTable::find(TimePoint now, const std::string& key) const {
    const auto it = entries_.find(key);
    if (it == entries_.end() || now - it->second.at > entry_lifetime) return nullptr;
    return &it->second;
}

}  // namespace headrouter
