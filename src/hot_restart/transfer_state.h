/// \file
/// Everything that a running process knows, as bytes and descriptors, for the process that takes its place:
/// every request, every connection in the middle of whatever it does, the policy's state and its timers.
///
/// Times in it are of the machine's steady clock, which both processes share. No I/O here: HotRestartParent
/// and HotRestartChild carry it over. state_version.h names the form.
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
    int64_t& list_version;       ///< as discovery last reported it; negative where it reported none
    std::string& list_source;    ///< HOST:PORT of the discovery whose version that is
    TimePoint& list_good_until;  ///< zero where it is not known
};

/// A packed state.
struct TransferState {
    std::string bytes;
    std::vector<int>
        descriptors;  ///< of the connections, in the order of the bytes; still owned by the components
};

/// Packs the state of `components` as of `now`. Nothing is changed.
[[nodiscard]] TransferState pack(Components components, TimePoint now);

/// Restores into `components`, which have served nothing yet, what pack() made of those of the other process.
/// Throws ParseError where the bytes are cut, garbled, of another version or of another time, or descriptors
/// are missing or left over; the components are then of no use, and descriptors that they took are closed
/// without a word to the other side.
void unpack(Components components, std::string_view bytes, std::vector<Fd> descriptors, TimePoint now);

}  // namespace headrouter::hot_restart
