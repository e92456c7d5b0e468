/// Tells what a `LOAD X` line of a server reports. Where the settings announce both kinds of report, servers
/// use the one word for either: the load of the connection now, in microseconds of work a second, and the
/// time that a message takes at the server now, in milliseconds. No I/O.
#pragma once
#include <array>
#include <optional>

#include "base/time.h"

namespace headrouter {

enum class ReportKind {
    load,
    latency,
    undecided  ///< to be resolved by what follows
};

/// The reports of one connection.
struct ReportHistory {
    std::optional<double> last_load;
    std::optional<TimePoint> last_latency_at;  ///< none once a latency report said that the delay is over
    std::optional<TimePoint> undecided_at;
    double undecided_value = 0;
    double last_latency = 0;
};

/// Shared by all connections: servers send their latency reports at the same phase of each second.
class ReportClassifier {
   public:
    /// Phases of a second at which latency reports are expected.
    static constexpr size_t phase_count = 8;

    struct State {
        std::array<std::optional<TimePoint>, phase_count> latest_by_phase{};  ///< latency reports
        std::optional<TimePoint> last_undecided_at;
    };

    const State& state() const { return state_; }
    void restore(const State& state) { state_ = state; }

    /// Latencies are reported from `min_latency_ms` on; zero where none are.
    explicit ReportClassifier(double min_latency_ms) : min_latency_ms_(min_latency_ms) {}
    void set_min_latency(double min_latency_ms) { min_latency_ms_ = min_latency_ms; }

    /// An undecided report that the next one finds was a load; the next one replaces it.
    [[nodiscard]] ReportKind classify(TimePoint now, ReportHistory& history, double value);

    /// Looks again at an undecided report, several times a second; its value stays in `undecided_value`. The
    /// kind is undecided where there is none, too.
    [[nodiscard]] ReportKind resolve_undecided(TimePoint now, ReportHistory& history);

   private:
    ReportKind as_latency(TimePoint at, ReportHistory& history, double value);
    bool begins_latency_reports(TimePoint now, const ReportHistory& history, double value) const;
    bool is_at_known_phase(TimePoint at) const;

    double min_latency_ms_;
    State state_;
};

}  // namespace headrouter
