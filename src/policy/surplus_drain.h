/// Schedules the migration of a server's surplus, one connection after the other.
#pragma once
#include <optional>

#include "base/pcg32.h"
#include "base/sliding_window.h"
#include "policy/cycle_clock.h"

namespace headrouter {

/// Tracks how much of one server's load is still to be migrated off, and the interval between migrations.
/// Loads are in mean load units.
class SurplusDrain {
   public:
    struct State {
        SlidingWindow<cycle_clock::cycles_remembered> excess{cycle_clock::cycle_time};
        double remaining = 0;  ///< load still to be migrated off
        Duration interval;     ///< between two steps
        bool is_active = false;
        bool protected_go_first = false;
    };

    [[nodiscard]] const State& state() const { return state_; }
    void restore(const State& state) { state_ = state; }

    /// Starts to migrate `load` off in about `steps` steps spread over `duration`. Returns the time of the
    /// first step, random within one interval, so that balancers do not act simultaneously; no value if
    /// `load` is not positive or a drain is active already, which then continues with the new load and
    /// interval.
    std::optional<TimePoint> start(TimePoint now, double load, int steps, Duration duration, Pcg32& random);
    /// Begins a step that is due. Returns false if no load is left to migrate, and the drain has ended.
    bool begin_step();
    /// Ends a step in which a connection of load `migrated` was migrated. Returns the time of the next step,
    /// if there is one.
    std::optional<TimePoint> end_step(TimePoint now, double migrated);
    /// Returns the load still to be migrated off.
    double remaining() const { return state_.remaining; }

    /// Records by how much the server exceeds its share; returns the largest excess of the last cycles.
    double record_excess(TimePoint now, double excess);
    void forget_excess() { state_.excess.clear(); }

    /// Sets whether protected connections are migrated first. They stay until their server has been balanced
    /// once, and are migrated first after that.
    void set_protected_first(bool first) { state_.protected_go_first = first; }
    bool protected_go_first() const { return state_.protected_go_first; }

   private:
    State state_;
};

}  // namespace headrouter
