#include "router/outcome_reporting.h"

namespace headrouter {

Counter counter_of(AttemptOutcome outcome) {
    switch (outcome) {
        case AttemptOutcome::error: return Counter::attempts_error;
        case AttemptOutcome::at_capacity: return Counter::attempts_at_capacity;
        case AttemptOutcome::timed_out: return Counter::attempts_timed_out;
        case AttemptOutcome::connect_failed: return Counter::attempts_connect_failed;
        case AttemptOutcome::reset: return Counter::attempts_reset;
        case AttemptOutcome::not_sent: return Counter::attempts_not_sent;
        case AttemptOutcome::completed:
        case AttemptOutcome::cancelled: return Counter::attempts_cancelled;
    }
    return Counter::attempts_cancelled;
}

std::string_view name_of(AttemptOutcome outcome) {
    switch (outcome) {
        case AttemptOutcome::completed: return "completed";
        case AttemptOutcome::error: return "error";
        case AttemptOutcome::at_capacity: return "at_capacity";
        case AttemptOutcome::timed_out: return "timed_out";
        case AttemptOutcome::connect_failed: return "connect_failed";
        case AttemptOutcome::reset: return "reset";
        case AttemptOutcome::cancelled: return "cancelled";
        case AttemptOutcome::not_sent: return "not_sent";
    }
    return "unknown";
}

}  // namespace headrouter
