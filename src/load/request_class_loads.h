/// Learns the load of an established connection of each request class from load reports, and computes the
/// unit of load in which all decisions are made.
#pragma once
#include <cstddef>
#include <utility>
#include <vector>

namespace headrouter {

/// Computes the mean reported load of each request class. Takes loads in microseconds of work per second and
/// returns loads in mean load units: 1 is the load of the mean connection over all reports. Not thread-safe.
class RequestClassLoads {
   public:
    struct State {
        std::vector<double> load_by_class;     ///< sum of reports, in microseconds of work per second
        std::vector<double> reports_by_class;  ///< number of reports, with older ones reduced in weight
        double total_load = 0;
        double total_reports = 0;
    };

    [[nodiscard]] const State& state() const { return state_; }
    void restore(State state) { state_ = std::move(state); }

    /// Sets the number of classes; keeps the loads of the classes that remain.
    void resize(size_t class_count) {
        state_.load_by_class.resize(class_count);
        state_.reports_by_class.resize(class_count);
    }

    /// Returns the load of the mean connection, in microseconds of work per second; 1 before the first
    /// report.
    [[nodiscard]] double mean_unit() const {
        return state_.total_reports > 0 ? state_.total_load / state_.total_reports : 1;
    }

    /// Returns the load of the class's mean connection, in mean load units; 1 for a class without a report.
    [[nodiscard]] double relative_load(size_t request_class) const {
        const double reports = state_.reports_by_class[request_class];
        if (reports <= 0) return 1;
        return state_.load_by_class[request_class] / reports / mean_unit();
    }

    /// Adds one report of `load`, in microseconds of work per second.
    void add_report(size_t request_class, double load) {
        if (state_.reports_by_class[request_class] > reports_before_decay) halve(request_class);
        state_.load_by_class[request_class] += load;
        state_.total_load += load;
        state_.reports_by_class[request_class] += 1;
        state_.total_reports += 1;
    }

   private:
    /// Number of reports of a class above which their weight is halved, so that reports of earlier days do
    /// not outweigh present ones.
    static constexpr double reports_before_decay = 400;

    void halve(size_t request_class) {
        state_.load_by_class[request_class] /= 2;
        state_.total_load -= state_.load_by_class[request_class];
        state_.reports_by_class[request_class] /= 2;
        state_.total_reports -= state_.reports_by_class[request_class];
    }

    State state_;
};

}  // namespace headrouter
