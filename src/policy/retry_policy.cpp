#include "policy/retry_policy.h"

namespace headrouter::retry_policy {

std::optional<Duration> time_left_for_second_run(const RequestClass& request_class, Duration since_sent) {
    switch (request_class.idempotency) {
        case Idempotency::idempotent: return std::nullopt;
        case Idempotency::keyed: return request_class.dedup_window - since_sent;
        case Idempotency::non_idempotent: break;
    }
    return Duration{};
}

bool allows_second_run(const RequestClass& request_class, Duration since_sent) {
    const std::optional<Duration> time_left = time_left_for_second_run(request_class, since_sent);
    return !time_left || *time_left > Duration{};
}

DedupScope second_run_scope(const RequestClass& request_class) {
    return request_class.idempotency == Idempotency::keyed ? request_class.dedup_scope : DedupScope::all;
}

bool is_in_scope(DedupScope scope, const Endpoint& first, const Endpoint& other) {
    switch (scope) {
        case DedupScope::all: return true;
        case DedupScope::zone: return other.zone == first.zone;
        case DedupScope::cell: return other.cell == first.cell;
    }
    return false;
}

bool may_client_retry(const RequestClass& request_class, bool may_have_run, ClientRetryBasis basis) {
    if (!may_have_run) return true;
    switch (request_class.idempotency) {
        case Idempotency::idempotent: return true;
        case Idempotency::keyed:
            return basis == ClientRetryBasis::deduplication && request_class.dedup_scope == DedupScope::all;
        case Idempotency::non_idempotent: return false;
    }
    return false;
}

}  // namespace headrouter::retry_policy
