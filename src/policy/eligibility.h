/// Whether anything new may be sent to a server. Each part of the question has its own name:
///
/// - `takes_new_requests`: the endpoint list has the server as active. Asked for sums over all servers.
/// - `is_selectable`: in addition, its failures allow an attempt now. Asked for shares; panic mode leaves it
///   aside.
/// - `FairShares::is_candidate`: it is active, the request's last attempt did not fail there, and it lies in
///   the request's deduplication scope.
/// - `FairShares::may_take`: all of these, and a warm-up permit where it is cold (`WarmupAdmission`). Asked
/// for
///   placement.
/// - `Placement::has_room`: its share and its load limit allow the request.
///
/// The router asks its endpoint table once more right before the first byte goes out
/// (`AttemptHandler::may_send`).
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
