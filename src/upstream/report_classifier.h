/// Classifies the `LOAD X` lines of servers as load or latency reports. If the settings announce both kinds,
/// servers use the same word for both: the current load of the connection, in microseconds of work per
/// second, and the current time that a message takes at the server, in milliseconds. Does no I/O.
#pragma once
#include <array>
#include <optional>

#include "base/time.h"

namespace headrouter {

enum class ReportKind {
    load,
    latency,
    undecided  ///< depends on the reports that follow
};

/// The report history of one connection.
struct ReportHistory {
    std::optional<double> last_load;
    std::optional<TimePoint> last_latency_at;  ///< empty once a report below the minimum ended the series
    std::optional<TimePoint> undecided_at;
    double undecided_value = 0;
    double last_latency = 0;
};

/// Classifies the reports of all connections. One object is shared by all of them, since the servers' latency
/// reports come at a few phases of each second.
class ReportClassifier {
   public:
    /// The maximum number of phases of a second at which latency reports are expected.
    static constexpr size_t phase_count = 8;

    struct State {
        /// Time of the latest latency report at each phase.
        std::array<std::optional<TimePoint>, phase_count> latest_by_phase{};
        std::optional<TimePoint> last_undecided_at;
    };

    const State& state() const { return state_; }
    void restore(const State& state) { state_ = state; }

    /// Servers report latencies of at least `min_latency_ms`; zero means that they report loads only.
    explicit ReportClassifier(double min_latency_ms) : min_latency_ms_(min_latency_ms) {}
    void set_min_latency(double min_latency_ms) { min_latency_ms_ = min_latency_ms; }

    /// Returns the kind of a report that arrived at `now`. If the report is undecided, it replaces an earlier
    /// undecided report of the connection, which is dropped.
    [[nodiscard]] ReportKind classify(TimePoint now, ReportHistory& history, double value);

    /// Tries again to classify the undecided report of a connection, whose value stays in
    /// `history.undecided_value`; called several times a second. Returns `undecided` also if there is no such
    /// report.
    [[nodiscard]] ReportKind resolve_undecided(TimePoint now, ReportHistory& history);

   private:
    ReportKind record_latency(TimePoint at, ReportHistory& history, double value);
    bool starts_latency_series(TimePoint now, const ReportHistory& history, double value) const;
    bool is_at_known_phase(TimePoint at) const;

    double min_latency_ms_;
    State state_;
};

}  // namespace headrouter
