/// Determines whether new requests may be sent to a server. The checks, from the widest to the strictest:
///
/// - `takes_new_requests`: its endpoint is active in the endpoint list. Used for sums over all servers.
/// - `is_selectable`: it is active, and its recent failures allow an attempt now. Used for shares (panic mode
///   ignores failures) and for the first choice of a group's ranking.
/// - `FairShares::is_candidate`: it is active, is not where the last attempt failed (ignored in panic
///   mode), and is within the deduplication scope. Used for shares and for placement.
/// - `FairShares::may_take`: it is a candidate, is selectable (except in panic mode) and, if it is cold, has
///   a warm-up permit (`WarmupAdmission`). Used for placement.
/// - `Placement::has_room`: it may take the request, and its share and its load limit allow that. Used for
///   placement.
///
/// The router checks its endpoint table again before it sends the first byte (`AttemptHandler::may_send`).
#pragma once
#include "base/time.h"
#include "policy/server_table.h"
#include "policy/types.h"

namespace headrouter::eligibility {

/// Returns whether a server in this state of the endpoint list takes new requests.
constexpr bool takes_new_requests(EndpointState state) { return state == EndpointState::active; }

/// Returns whether the server's own state (endpoint state and failures) allows a new attempt now.
bool is_selectable(TimePoint now, const ServerState&);

/// Returns how many servers in the endpoint list, active or draining, would get no new attempt now.
int count_unselectable(TimePoint now, const ServerTable&);

}  // namespace headrouter::eligibility
