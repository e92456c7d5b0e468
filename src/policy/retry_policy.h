/// Decides which requests may run a second time, at which servers, and whether their clients may retry.
///
/// The rules depend on the idempotency of the request class and on what is known about earlier attempts:
///
/// | idempotency    | further attempt                          | client may retry                   |
/// | -------------- | ---------------------------------------- | ---------------------------------- |
/// | idempotent     | always, at any server                    | always                             |
/// | keyed          | within the deduplication window, at the  | where every server recognises it,  |
/// |                | servers of the deduplication scope       | see `ClientRetryBasis`             |
/// | non-idempotent | only if no earlier attempt may have run  | only if none may have run          |
///
/// As long as no attempt may have run, requests of all classes may be sent to any server and may be retried.
#pragma once
#include <optional>

#include "base/time.h"
#include "policy/types.h"

namespace headrouter::retry_policy {

/// Returns whether this outcome proves that the request never ran at the attempt's server.
constexpr bool never_ran(AttemptOutcome outcome) {
    return outcome == AttemptOutcome::at_capacity || outcome == AttemptOutcome::connect_failed ||
           outcome == AttemptOutcome::not_sent;
}

/// Returns how much longer a further attempt of a request that may have run may be sent: nothing if there is
/// no limit, zero or less if it may not be sent. `since_sent`: time since the first attempt that may have run
/// was sent.
std::optional<Duration> time_left_for_second_run(const RequestClass&, Duration since_sent);

/// Returns whether a request that may have run may get a further attempt, if that is sent now.
bool allows_second_run(const RequestClass&, Duration since_sent);

/// Returns the scope of servers to which a request that may have run is bound; `all`: any server.
DedupScope second_run_scope(const RequestClass&);

/// Returns whether a request that may have run at the endpoint `first` may also run at `other`.
bool is_in_scope(DedupScope, const Endpoint& first, const Endpoint& other);

/// The guarantee behind telling a client that a retry is harmless.
enum class ClientRetryBasis {
    /// All attempts have ended: a keyed request may be retried if all servers recognise it.
    deduplication,
    /// An attempt may still be outstanding, and the client may retry at any time, also after the
    /// deduplication window. A keyed request that may have run therefore counts as non-idempotent.
    execution_only,
};

/// Returns whether a request may be rejected, which tells its client that a retry is harmless. Otherwise the
/// request fails.
bool may_client_retry(const RequestClass&, bool may_have_run, ClientRetryBasis);

}  // namespace headrouter::retry_policy
