/// Which requests may run a second time, at which servers, and whether their clients may ask again.
///
/// The rule follows from the idempotency of the request class and from what is known of earlier attempts:
///
/// | idempotency    | further attempt                          | client may ask again               |
/// | -------------- | ---------------------------------------- | ---------------------------------- |
/// | idempotent     | always, at any server                    | always                             |
/// | keyed          | within the deduplication window, at the  | where every server recognises it,  |
/// |                | servers of the deduplication scope       | see `ClientRetryBasis`             |
/// | non-idempotent | only if no earlier attempt may have run  | only if none may have run          |
///
/// As long as no attempt may have run, all classes may be sent anywhere and asked for again.
#pragma once
#include "base/time.h"
#include "policy/types.h"

namespace headrouter::retry_policy {

/// Whether it is known of an attempt that ended so that the request never ran at its server.
constexpr bool never_ran(AttemptOutcome outcome) {
    return outcome == AttemptOutcome::at_capacity || outcome == AttemptOutcome::connect_failed ||
           outcome == AttemptOutcome::not_sent;
}

/// Whether a request of which an attempt may have run may get a further one. `since_sent`: since the first
/// attempt that may have run was sent.
bool allows_second_run(const RequestClass&, Duration since_sent);

/// The servers that a request of which an attempt may have run is bound to; `all`: any server.
DedupScope second_run_scope(const RequestClass&);

/// Whether a request that may have run at the endpoint `first` may run at `other` as well.
bool is_in_scope(DedupScope, const Endpoint& first, const Endpoint& other);

/// What is relied on when a client is told that asking again is harmless.
enum class ClientRetryBasis {
    /// All attempts have ended: a keyed request may be asked for again if all servers recognise it.
    deduplication,
    /// An attempt may still be outstanding, and when the client comes back is open: it may come after the
    /// deduplication window. A keyed request that may have run counts as non-idempotent then.
    execution_only,
};

/// Whether a request may be rejected, which tells its client that asking again is harmless. Otherwise it
/// fails.
bool may_client_retry(const RequestClass&, bool may_have_run, ClientRetryBasis);

}  // namespace headrouter::retry_policy
