/// The endpoints that discovery has named so far, and where each of them is reached.
#pragma once
#include <optional>
#include <unordered_map>
#include <utility>

#include "discovery/endpoint_update.h"

namespace headrouter {

/// Not synchronized: it belongs to the thread of the event loop.
class EndpointTable {
   public:
    struct Entry {
        std::optional<Address> address;
        EndpointState state = EndpointState::active;
    };
    using State = std::unordered_map<ServerId, Entry>;

    const State& state() const { return entries_; }
    void restore(State state) { entries_ = std::move(state); }

    void apply(const EndpointUpdate& update);

    /// Also of a removed endpoint, as its established requests may still be reached there.
    std::optional<Address> address_of(const ServerId& id) const;

    /// How many endpoints are active or draining.
    size_t present_count() const;

    /// Whether new requests may be sent there, by the last update.
    bool is_active(const ServerId& id) const;

   private:
    State entries_;
};

}  // namespace headrouter
