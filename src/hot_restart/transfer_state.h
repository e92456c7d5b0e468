/// \file
/// Packs a whole balancer for the process that replaces it, and restores it there: every request, every
/// connection whatever its stage, the policy's state and its timers, as bytes and file descriptors.
///
/// Times are of the machine's steady clock, which both processes share. No I/O: HotRestartParent and
/// HotRestartChild transfer the bytes. balancer_state.h defines their layout, state_version.h its version.
#pragma once
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "discovery/endpoint_staleness.h"
#include "downstream/downstream.h"
#include "router/request_router.h"
#include "upstream/upstream.h"

namespace headrouter::hot_restart {

/// Refers to the parts of a balancer whose state is transferred; they must outlive the call.
struct Components {
    RequestRouter& router;
    Downstream& downstream;
    Upstream& upstream;
    std::multimap<TimePoint, uint64_t>& timers;  ///< the policy's timers: token by due time
    int64_t& list_version;     ///< of the endpoint list that discovery last sent; negative if none
    std::string& list_source;  ///< HOST:PORT of the discovery that sent that list
    EndpointStaleness::State& list_staleness;  ///< how long that list is known to be current
};

/// Holds a packed state.
struct TransferState {
    std::string bytes;
    /// Descriptors of the connections, in the order of the bytes; still owned by the components.
    std::vector<int> descriptors;
};

/// Packs the state of `components` at the time `now`. Does not change the components.
[[nodiscard]] TransferState pack(Components components, TimePoint now);

/// Restores the state that pack() returned in the other process into `components`, which must not have
/// served any client. Throws ParseError if the bytes are truncated, corrupt, of another version or too
/// old, or if there are more or fewer descriptors than connections. After an exception the components must
/// not be used; the descriptors are closed, and the connections stay with the other process.
void unpack(Components components, std::string_view bytes, std::vector<Fd> descriptors, TimePoint now);

}  // namespace headrouter::hot_restart
