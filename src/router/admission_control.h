/// Decides whether the balancer admits a request, before the request is reported to the policy.
#pragma once
#include <optional>
#include <string_view>

#include "admin/counters.h"
#include "base/time.h"
#include "policy/policy_config.h"
#include "router/router_environment.h"
#include "router/shutdown_schedule.h"

namespace headrouter {

/// The reason why a request is rejected, and the retry delay sent to its client.
struct AdmissionRejection {
    Counter counter;          ///< counter of this kind of rejection
    std::string_view reason;  ///< reason in the log; refers to a static string
    Duration retry_after;     ///< zero if the client may retry at once
};

/// Rejects requests that this process cannot serve. No attempt has been made for them, so a retry at this or
/// another balancer is safe.
class AdmissionControl {
   public:
    enum class RequestOrigin {
        new_request,
        established_before,  ///< a server already serves the request, see RequestAdopter
    };

    /// All arguments must outlive this object.
    AdmissionControl(const RouterEnvironment& environment, const ShutdownSchedule& shutdown,
                     const PolicyConfig& config)
        : environment_(environment), shutdown_(shutdown), config_(config) {}

    /// Returns nothing if the request is admitted. A new request is rejected if the endpoint list is
    /// outdated, because another balancer may have a newer one, and then if descriptors or memory are short;
    /// idle connections may be closed to free them. Every request is rejected while the process drains.
    [[nodiscard]] std::optional<AdmissionRejection> check(RequestOrigin, TimePoint now) const;

   private:
    std::optional<Counter> find_rejection_counter() const;

    const RouterEnvironment& environment_;
    const ShutdownSchedule& shutdown_;
    const PolicyConfig& config_;
};

}  // namespace headrouter
