#include "upstream/report_classifier.h"

#include <algorithm>

namespace headrouter {

namespace {

// Latencies are reported once a second for as long as they last, loads whenever they change. So a report is
// one of latency when it comes a whole number of seconds after another one: after the last of its own
// connection or, with less tolerance, of any other. Two reports at one moment are the first of a series.
constexpr Duration report_period = seconds(1);
constexpr Duration own_tolerance = millis(10);
constexpr Duration shared_tolerance = millis(3);
constexpr Duration phase_lifetime = seconds(20);
constexpr int max_missed_reports = 3;
constexpr Duration min_distance = report_period * 0.5;
// A latency begins small: nearly all loads are above this, so no first report of latency is looked for there.
constexpr double max_first_latency_ms = 1500;
// Work piles up a few times as fast as time goes by, no faster: a larger step in phase is a load after all.
constexpr double max_latency_step_ms = 3000;
// An idle connection's load is a small part of its usual one, but not as small as this.
constexpr double min_part_of_load = 1.0 / 250;

/// Whether `now` is a whole number of periods after `since`, and at most `max_age`.
bool is_in_phase(TimePoint now, TimePoint since, Duration tolerance, Duration max_age) {
    const Duration elapsed = now - since;
    if (elapsed > max_age) return false;
    const int64_t offset_ns = elapsed.ns % report_period.ns;
    return offset_ns <= tolerance.ns || offset_ns >= report_period.ns - tolerance.ns;
}

/// Whether a report goes on from the last one of latency of the same connection.
bool continues_latency_reports(TimePoint now, const ReportHistory& history, double value) {
    if (!history.last_latency_at) return false;
    if (value > history.last_latency + max_latency_step_ms) return false;
    if (now - *history.last_latency_at <= min_distance) return false;
    constexpr Duration max_age = report_period * max_missed_reports + own_tolerance;
    return is_in_phase(now, *history.last_latency_at, own_tolerance, max_age);
}

ReportKind as_load(ReportHistory& history, double value) {
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

ReportKind ReportClassifier::as_latency(TimePoint at, ReportHistory& history, double value) {
    const auto has_phase = [&](const std::optional<TimePoint>& latest) {
        return latest && is_in_phase(at, *latest, shared_tolerance, phase_lifetime);
    };
    auto* phase = std::find_if(state_.latest_by_phase.begin(), state_.latest_by_phase.end(), has_phase);
    if (phase == state_.latest_by_phase.end())
        phase = std::min_element(state_.latest_by_phase.begin(),
                                 state_.latest_by_phase.end());  // unused, else the oldest
    *phase = at;
    history.undecided_at.reset();
    history.last_latency_at.reset();
    history.last_latency = value;
    if (value >= min_latency_ms_) history.last_latency_at = at;  // a smaller one says that the delay is over
    return ReportKind::latency;
}

bool ReportClassifier::begins_latency_reports(TimePoint now, const ReportHistory& history,
                                              double value) const {
    const bool follows_undecided =
        history.undecided_at && now - *history.undecided_at > min_distance &&
        is_in_phase(now, *history.undecided_at, own_tolerance, report_period + own_tolerance);
    if (follows_undecided) return true;
    const bool has_company = state_.last_undecided_at && now - *state_.last_undecided_at <= shared_tolerance;
    return has_company || is_at_known_phase(now) || value < *history.last_load * min_part_of_load;
}

ReportKind ReportClassifier::classify(TimePoint now, ReportHistory& history, double value) {
    const bool is_first = !history.last_load;  // each connection begins with its load
    if (min_latency_ms_ <= 0 || is_first) return as_load(history, value);
    if (continues_latency_reports(now, history, value)) return as_latency(now, history, value);
    if (value < min_latency_ms_ || value > max_first_latency_ms) return as_load(history, value);
    if (begins_latency_reports(now, history, value)) return as_latency(now, history, value);
    state_.last_undecided_at = now;
    history.undecided_at = now;
    history.undecided_value = value;
    return ReportKind::undecided;
}

ReportKind ReportClassifier::resolve_undecided(TimePoint now, ReportHistory& history) {
    if (!history.undecided_at) return ReportKind::undecided;
    if (is_at_known_phase(*history.undecided_at))
        return as_latency(*history.undecided_at, history, history.undecided_value);
    if (now - *history.undecided_at <= report_period + own_tolerance) return ReportKind::undecided;
    history.undecided_at.reset();
    return as_load(history, history.undecided_value);
}

}  // namespace headrouter
