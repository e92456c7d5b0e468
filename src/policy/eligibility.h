/// Whether anything new may be sent to a server: each part of the question has its name here.
///
/// | question                       | answer                             | asked | |
/// ------------------------------ | ---------------------------------- | -----------------------------------
/// | | does its endpoint take new     | `takes_new_requests`: it is active | for sums, and last by the
/// router,   | | requests?                      | in the endpoint list               | right before the first
/// byte         | | may it have an attempt now?    | `is_selectable`: that, and its     | for shares (panic
/// mode leaves its   | |                                | failures let it have one           | failures
/// aside); for group rankings | | is it one for this request?    | `FairShares::is_candidate`: active,| for
/// shares and placement            | |                                | not where the last attempt failed, |
/// | |                                | within the deduplication scope     | | | may it take this request
/// now?  | `FairShares::may_take`: all of     | for placement                       | | | these, and a
/// warm-up permit where  |                                     | |                                | it is
/// cold (`WarmupAdmission`)     |                                     | | has it room for it?            |
/// `Placement::has_room`: its share   | for placement                       | | | and its load limit allow it
/// |                                     |
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
