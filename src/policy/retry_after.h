/// Computes how long rejected clients are told to wait before they retry.
#pragma once
#include "base/pcg32.h"
#include "base/time.h"
#include "policy/policy_config.h"

namespace headrouter {

/// Returns the retry-after of a request that the policy rejects: between 0.3 and 1 times `max_retry_after`,
/// uniformly distributed, so that clients rejected together do not retry together. Draws one number of
/// `random`. Returns zero, and draws nothing, if `advises_retry_after` is off.
Duration random_retry_after(const PolicyConfig&, Pcg32& random);

/// Returns the retry-after of a request that the process has no resources for: 0.2 times `max_retry_after`,
/// since requests end continually and free their resources.
Duration shortage_retry_after(const PolicyConfig&);

}  // namespace headrouter
