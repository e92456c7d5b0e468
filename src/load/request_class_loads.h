/// What an established connection of each request class costs a server, learnt from load reports, and the
/// unit of load that all decisions count in.
#pragma once
#include <cstddef>
#include <utility>
#include <vector>

namespace headrouter {

/// Mean reported load of each request class. Loads go in as microseconds of work a second and come out in
/// mean load units: 1 is the load of the mean connection over all reports. Not thread-safe.
class RequestClassLoads {
   public:
    struct State {
        std::vector<double> load_by_class;     ///< sum of reports, in microseconds of work a second
        std::vector<double> reports_by_class;  ///< how many, after the older ones have lost weight
        double total_load = 0;
        double total_reports = 0;
    };

    [[nodiscard]] const State& state() const { return state_; }
    void restore(State state) { state_ = std::move(state); }

    /// Sets how many classes there are; what was learnt of those that stay is kept.
    void resize(size_t class_count) {
        state_.load_by_class.resize(class_count);
        state_.reports_by_class.resize(class_count);
    }

    /// The load of the mean connection, in microseconds of work a second; 1 before the first report.
    [[nodiscard]] double mean_unit() const {
        return state_.total_reports > 0 ? state_.total_load / state_.total_reports : 1;
    }

    /// The load of the class's mean connection, in mean load units; 1 of a class without a report.
    [[nodiscard]] double relative_load(size_t request_class) const {
        const double reports = state_.reports_by_class[request_class];
        if (reports <= 0) return 1;
        return state_.load_by_class[request_class] / reports / mean_unit();
    }

    /// Counts one report of `load`, in microseconds of work a second.
    void add_report(size_t request_class, double load) {
        if (state_.reports_by_class[request_class] > reports_before_decay) halve(request_class);
        state_.load_by_class[request_class] += load;
        state_.total_load += load;
        state_.reports_by_class[request_class] += 1;
        state_.total_reports += 1;
    }

   private:
    /// The class's reports are halved in weight beyond so many, so that old days do not outvote the present
    /// one.
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
