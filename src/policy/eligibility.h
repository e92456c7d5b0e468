/// Whether anything new may be sent to a server. Each part of the question has a name of its own:
///
/// - `takes_new_requests`: its endpoint is active in the endpoint list. Asked for sums over all servers.
/// - `is_selectable`: that, and its failures let it have an attempt now. Asked for shares (panic mode leaves
///   failures aside) and for the first choice of a group's ranking.
/// - `FairShares::is_candidate`: active, not where the last attempt failed (panic mode leaves that aside),
///   within the deduplication scope. Asked for shares and for placement.
/// - `FairShares::may_take`: a candidate, selectable (except in panic mode), and with a warm-up permit where
///   it is cold (`WarmupAdmission`). Asked for placement.
/// - `Placement::has_room`: may take it, and its share and its load limit allow it. Asked for placement.
///
/// The router asks its endpoint table once more before the first byte goes out (`AttemptHandler::may_send`).
#pragma once
#include "base/time.h"
#include "policy/server_table.h"
#include "policy/types.h"

namespace headrouter::eligibility {

/// Whether the endpoint list lets new requests go to a server in this state.
constexpr bool takes_new_requests(EndpointState state) { return state == EndpointState::active; }

/// Whether the server may get a new attempt, as far as its own state goes.
bool is_selectable(TimePoint now, const ServerState&);

/// How many servers of the endpoint list, active or draining, would get no new attempt now.
int count_unselectable(TimePoint now, const ServerTable&);

}  // namespace headrouter::eligibility
