#include "upstream/report_classifier.h"

#include <algorithm>

namespace headrouter {

namespace {

// Servers report a latency once a second while it stays above the minimum, and a load whenever it changes. So
// a report is a latency report if it arrives a whole number of seconds after another latency report: after
// the last one of its own connection or, with a smaller tolerance, of any connection. Two undecided reports
// at the same moment are the first ones of a series.
constexpr Duration report_period = seconds(1);
constexpr Duration own_tolerance = millis(10);
constexpr Duration shared_tolerance = millis(3);
constexpr Duration phase_lifetime = seconds(20);
constexpr int max_missed_reports = 3;
constexpr Duration min_report_spacing = report_period * 0.5;
// The first latency of a series is small and nearly all loads are larger than this value, so a larger report
// never starts a series.
constexpr double max_first_latency_ms = 1500;
// Queued work, in time, grows at most a few times as fast as time elapses. A report that exceeds the last
// latency by more than this is a load, even if it is in phase.
constexpr double max_latency_step_ms = 3000;
// The load of an idle connection is a small fraction of its usual load, but never smaller than this fraction.
constexpr double min_idle_load_fraction = 1.0 / 250;

/// Returns whether `now` is a whole number of report periods after `since`, within `tolerance`, and at most
/// `max_age` after it.
bool is_in_phase(TimePoint now, TimePoint since, Duration tolerance, Duration max_age) {
    const Duration elapsed = now - since;
    if (elapsed > max_age) return false;
    const int64_t offset_ns = elapsed.ns % report_period.ns;
    return offset_ns <= tolerance.ns || offset_ns >= report_period.ns - tolerance.ns;
}

/// Returns whether a report continues the series of latency reports of its connection.
bool continues_latency_series(TimePoint now, const ReportHistory& history, double value) {
    if (!history.last_latency_at) return false;
    if (value > history.last_latency + max_latency_step_ms) return false;
    if (now - *history.last_latency_at <= min_report_spacing) return false;
    constexpr Duration max_age = report_period * max_missed_reports + own_tolerance;
    return is_in_phase(now, *history.last_latency_at, own_tolerance, max_age);
}

ReportKind record_load(ReportHistory& history, double value) {
    history.last_load = value;
    return ReportKind::load;
}

}  // namespace

bool ReportClassifier::is_at_known_phase(TimePoint at) const {
    const auto matches = [&](const std::optional<TimePoint>& latest) {
        if (!latest) return false;
        if (at < *latest) return *latest - at <= shared_tolerance;
        return is_in_phase(at, *latest, shared_tolerance, phase_lifetime);
    };
    return std::any_of(state_.latest_by_phase.begin(), state_.latest_by_phase.end(), matches);
}

ReportKind ReportClassifier::record_latency(TimePoint at, ReportHistory& history, double value) {
    const auto has_phase = [&](const std::optional<TimePoint>& latest) {
        return latest && is_in_phase(at, *latest, shared_tolerance, phase_lifetime);
    };
    auto* phase = std::find_if(state_.latest_by_phase.begin(), state_.latest_by_phase.end(), has_phase);
    if (phase == state_.latest_by_phase.end())
        phase = std::min_element(state_.latest_by_phase.begin(),
                                 state_.latest_by_phase.end());  // an unused one, otherwise the oldest
    *phase = at;
    history.undecided_at.reset();
    history.last_latency_at.reset();
    history.last_latency = value;
    if (value >= min_latency_ms_) history.last_latency_at = at;  // a smaller one ends the series
    return ReportKind::latency;
}

bool ReportClassifier::starts_latency_series(TimePoint now, const ReportHistory& history,
                                             double value) const {
    const bool follows_undecided =
        history.undecided_at && now - *history.undecided_at > min_report_spacing &&
        is_in_phase(now, *history.undecided_at, own_tolerance, report_period + own_tolerance);
    if (follows_undecided) return true;
    const bool coincides_with_undecided =
        state_.last_undecided_at && now - *state_.last_undecided_at <= shared_tolerance;
    return coincides_with_undecided || is_at_known_phase(now) ||
           value < *history.last_load * min_idle_load_fraction;
}

ReportKind ReportClassifier::classify(TimePoint now, ReportHistory& history, double value) {
    const bool is_first = !history.last_load;  // the first report of each connection is its load
    if (min_latency_ms_ <= 0 || is_first) return record_load(history, value);
    if (continues_latency_series(now, history, value)) return record_latency(now, history, value);
    if (value < min_latency_ms_ || value > max_first_latency_ms) return record_load(history, value);
    if (starts_latency_series(now, history, value)) return record_latency(now, history, value);
    state_.last_undecided_at = now;
    history.undecided_at = now;
    history.undecided_value = value;
    return ReportKind::undecided;
}

ReportKind ReportClassifier::resolve_undecided(TimePoint now, ReportHistory& history) {
    if (!history.undecided_at) return ReportKind::undecided;
    if (is_at_known_phase(*history.undecided_at))
        return record_latency(*history.undecided_at, history, history.undecided_value);
    if (now - *history.undecided_at <= report_period + own_tolerance) return ReportKind::undecided;
    history.undecided_at.reset();
    return record_load(history, history.undecided_value);
}

}  // namespace headrouter
