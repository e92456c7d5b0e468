/// Whether a balancer takes a request at all, before the policy hears of it.
#pragma once
#include <optional>
#include <string_view>

#include "admin/counters.h"
#include "base/time.h"
#include "policy/policy_config.h"
#include "router/router_environment.h"
#include "router/shutdown_schedule.h"

namespace headrouter {

/// Why a request is rejected, and what its client is told.
struct AdmissionRejection {
    Counter counter;          ///< that counts it
    std::string_view reason;  ///< for the log; static
    Duration retry_after;     ///< zero: the client may ask again at once
};

/// Rejects what this process cannot serve: nothing has run, so asking again, here or at another balancer, is
/// harmless.
class AdmissionControl {
   public:
    enum class RequestOrigin {
        new_request,
        established_before,  ///< its server serves it already, see RequestAdopter
    };

    /// All must outlive it.
    AdmissionControl(const RouterEnvironment& environment, const ShutdownSchedule& shutdown,
                     const PolicyConfig& config)
        : environment_(environment), shutdown_(shutdown), config_(config) {}

    /// Nothing where the request is admitted. New requests need an endpoint list that is not outdated, as
    /// another balancer may have a newer one, then descriptors and memory, for which idle connections may be
    /// closed. No request is taken while the process drains.
    [[nodiscard]] std::optional<AdmissionRejection> check(RequestOrigin, TimePoint now) const;

   private:
    std::optional<Counter> find_obstacle() const;

    const RouterEnvironment& environment_;
    const ShutdownSchedule& shutdown_;
    const PolicyConfig& config_;
};

}  // namespace headrouter
