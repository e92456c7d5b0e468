/// Parses a response of discovery: a snapshot of the endpoint list, or a delta with its changes.
#pragma once
#include <optional>
#include <string>
#include <vector>

#include "config/cluster_config.h"
#include "config/json.h"
#include "policy/balancing_policy.h"
#include "transport/clock.h"
#include "transport/socket.h"

namespace headrouter {

/// Holds a parsed snapshot or delta of the endpoint list.
struct EndpointUpdate {
    struct Entry {
        Endpoint endpoint;
        std::optional<Address> address;  ///< none if the entry has none or it is not valid
    };

    int64_t version = 0;
    bool is_snapshot = false;  ///< whole list: an endpoint that is missing is removed
    std::vector<Entry> entries;
    int unreadable_entries = 0;  ///< number of entries left out because they could not be parsed

    /// Returns the endpoints without their addresses, for the policy.
    std::vector<Endpoint> endpoints() const;
};

/// Parses a response. `config` has the names of the zones; `clock` converts start times to the clock of
/// this process. An entry that cannot be parsed is left out and counted. Throws ParseError if the response
/// as a whole is malformed.
EndpointUpdate parse_endpoint_update(const json::Json& answer, const ClusterConfig& config,
                                     const Clock& clock);
EndpointUpdate parse_endpoint_update(const std::string& body, const ClusterConfig& config,
                                     const Clock& clock);

}  // namespace headrouter
