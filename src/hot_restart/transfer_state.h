/// \file
/// The transfer of a whole balancer to the process that takes its place: every request, every connection
/// whatever its stage, the policy's state and its timers, as bytes and descriptors.
///
/// Times are of the machine's steady clock, which both processes share. No I/O here: HotRestartParent and
/// HotRestartChild carry the bytes over. balancer_state.h has their form, state_version.h its version.
#pragma once
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "downstream/downstream.h"
#include "router/request_router.h"
#include "upstream/upstream.h"

namespace headrouter::hot_restart {

/// The parts of a balancer whose state is transferred; they outlive the call.
struct Components {
    RequestRouter& router;
    Downstream& downstream;
    Upstream& upstream;
    std::multimap<TimePoint, uint64_t>& timers;  ///< the policy's timers: when each is due, and its token
    int64_t& list_version;       ///< of the endpoint list, as discovery last reported it; negative for none
    std::string& list_source;    ///< HOST:PORT of the discovery whose version that is
    TimePoint& list_good_until;  ///< zero where it is not known
};

/// A packed state.
struct TransferState {
    std::string bytes;
    /// Of the connections, in the order of the bytes; still owned by the components.
    std::vector<int> descriptors;
};

/// Packs the state of `components` as of `now`. Nothing is changed.
[[nodiscard]] TransferState pack(Components components, TimePoint now);

/// Restores into `components`, which have served nothing yet, what pack() made of those of the other process.
/// Throws ParseError where the bytes are cut off, garbled, of another version or too old, or where there are
/// more or fewer descriptors than connections. The components must not be used then; the descriptors are
/// closed, the connections stay with the other process.
void unpack(Components components, std::string_view bytes, std::vector<Fd> descriptors, TimePoint now);

}  // namespace headrouter::hot_restart
