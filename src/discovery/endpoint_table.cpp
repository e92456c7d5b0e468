#include "discovery/endpoint_table.h"

#include <algorithm>

namespace headrouter {

void EndpointTable::apply(const EndpointUpdate& update) {
    if (update.is_snapshot)
        for (auto& [id, entry] : entries_) entry.state = EndpointState::removed;
    for (const EndpointUpdate::Entry& updated : update.entries) {
        Entry& entry = entries_[updated.endpoint.server];
        entry.state = updated.endpoint.state;
        // The entry of a removed endpoint may have no address; the known address is kept then.
        if (updated.address) entry.address = updated.address;
    }
}

std::optional<Address> EndpointTable::address_of(const ServerId& id) const {
    const auto found = entries_.find(id);
    return found == entries_.end() ? std::nullopt : found->second.address;
}

size_t EndpointTable::present_count() const {
    const auto is_present = [](const auto& entry) { return entry.second.state != EndpointState::removed; };
    return static_cast<size_t>(std::count_if(entries_.begin(), entries_.end(), is_present));
}

bool EndpointTable::is_active(const ServerId& id) const {
    const auto found = entries_.find(id);
    return found != entries_.end() && found->second.state == EndpointState::active;
}

}  // namespace headrouter
