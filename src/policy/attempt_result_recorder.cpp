#include "policy/attempt_result_recorder.h"

#include "policy/cycle_clock.h"

namespace headrouter {

void AttemptResultRecorder::record(TimePoint now, const RequestState& request, const AttemptEnd& end) {
    if (end.was_established)
        record_connection_end(now, request, end);
    else
        record_setup_failure(now, request, end);
}

void AttemptResultRecorder::record_connection_end(TimePoint now, const RequestState& request,
                                                  const AttemptEnd& end) {
    const Attempt& attempt = request.attempts[end.number];
    switch (end.outcome) {
        case AttemptOutcome::completed:
        case AttemptOutcome::not_sent: return;
        case AttemptOutcome::cancelled:
            if (config_.passthrough) failovers_.record(now, request.key, attempt.server, true);
            return;
        case AttemptOutcome::reset: early_resets_.on_reset(now, attempt.sent); break;
        default: break;
    }
    health_.record_reset(now, attempt.server);
}

void AttemptResultRecorder::record_setup_failure(TimePoint now, const RequestState& request,
                                                 const AttemptEnd& end) {
    const bool is_failure = end.outcome != AttemptOutcome::completed &&
                            end.outcome != AttemptOutcome::cancelled &&
                            end.outcome != AttemptOutcome::not_sent;
    if (!is_failure) return;
    const Attempt& attempt = request.attempts[end.number];
    if (attempt.sent >= cycle_clock::cycle_start(now)) servers_[attempt.server].outliers.count_lost();
    const bool was_full = end.outcome == AttemptOutcome::at_capacity;
    const double penalty = was_full ? OutlierDetector::penalty_at_capacity : OutlierDetector::penalty_failed;
    health_.record_failure(now, attempt.server, penalty);
    failovers_.record(now, request.key, attempt.server, false);
}

}  // namespace headrouter
