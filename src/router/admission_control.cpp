#include "router/admission_control.h"

#include "policy/retry_after.h"

namespace headrouter {

std::optional<AdmissionRejection> AdmissionControl::check(RequestOrigin origin, TimePoint now) const {
    if (origin == RequestOrigin::new_request) {
        if (const std::optional<Counter> counter = find_rejection_counter())
            return AdmissionRejection{*counter, printed_name(*counter), shortage_retry_after(config_)};
    }
    if (shutdown_.is_draining(now))
        return AdmissionRejection{Counter::requests_rejected, "shutting_down", Duration{}};
    return std::nullopt;
}

std::optional<Counter> AdmissionControl::find_rejection_counter() const {
    if (environment_.is_endpoint_list_outdated()) return Counter::refused_for_outdated_list;
    return environment_.find_shortage();
}

}  // namespace headrouter
