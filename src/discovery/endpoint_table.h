/// The endpoints that discovery has reported so far, with their addresses and states.
#pragma once
#include <optional>
#include <unordered_map>
#include <utility>

#include "discovery/endpoint_update.h"

namespace headrouter {

/// Keeps the last known state and address of each endpoint, also of removed ones. Not thread-safe: belongs
/// to the thread of the event loop.
class EndpointTable {
   public:
    struct Entry {
        std::optional<Address> address;
        EndpointState state = EndpointState::active;
    };
    using State = std::unordered_map<ServerId, Entry>;

    const State& state() const { return entries_; }
    void restore(State state) { entries_ = std::move(state); }

    /// Applies a snapshot or a delta. An endpoint that a snapshot does not contain becomes removed.
    void apply(const EndpointUpdate& update);

    /// Returns the last known address, also of a removed endpoint, because its established requests may
    /// still use that address.
    std::optional<Address> address_of(const ServerId& id) const;

    /// Returns the number of endpoints that are active or draining.
    size_t present_count() const;

    /// Returns whether new requests may be sent to the endpoint, according to the last update.
    bool is_active(const ServerId& id) const;

   private:
    State entries_;
};

}  // namespace headrouter
