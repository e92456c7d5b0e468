/// How long rejected clients are asked to wait before they ask again.
#pragma once
#include "base/pcg32.h"
#include "base/time.h"
#include "policy/policy_config.h"

namespace headrouter {

/// The retry-after of a request that the policy rejects: between 0.3 and 1 times `max_retry_after`, uniformly
/// distributed, so that clients rejected together do not come back together. Draws one number of `random`.
/// Zero, and nothing drawn, where clients are given no advice.
Duration random_retry_after(const PolicyConfig&, Pcg32& random);

/// The retry-after of a request that the process has no resources for: 0.2 times `max_retry_after`, as
/// requests end all the time and leave room.
Duration shortage_retry_after(const PolicyConfig&);

}  // namespace headrouter
