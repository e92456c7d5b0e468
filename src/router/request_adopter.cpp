#include "router/request_adopter.h"

#include <algorithm>

namespace headrouter {

namespace {
constexpr Duration retry_interval = millis(200);
constexpr Duration max_connect_timeout = seconds(2);

// Clients of an earlier process reconnect within this time after the start of this process, and the server of
// each is retried for this long. For a client that connects later, the limit is late_client_time_limit.
constexpr Duration adoption_period = seconds(39);
constexpr Duration late_client_time_limit = seconds(2);
}  // namespace

Duration RequestAdopter::time_limit(TimePoint now) const {
    return now - started_at_ < adoption_period ? adoption_period : late_client_time_limit;
}

void RequestAdopter::connect(RequestId id, ActiveRequest& request, TimePoint now) {
    request.server = request.request_line.established_server;
    request.adoption_retry_at = TimePoint{};
    const std::optional<Address> address = endpoints_.address_of(request.server);
    if (!address) return schedule_retry(request, now);
    request.attempt = 0;
    request.attempt_running = true;
    request.attempt_started_at = now;
    const Duration time_left = request.request_line.request.deadline - now;
    upstream_.start_attempt(id, *address, request.request_line.line,
                            {.connect = std::min(max_connect_timeout, time_left), .response = time_left});
}

void RequestAdopter::schedule_retry(ActiveRequest& request, TimePoint now) {
    request.adoption_retry_at = now + retry_interval;
}

bool RequestAdopter::is_retry_due(const ActiveRequest& request, TimePoint now) {
    return request.adoption_retry_at.ns != 0 && now >= request.adoption_retry_at;
}

}  // namespace headrouter
