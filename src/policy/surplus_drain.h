/// Migrating a server's surplus off, one connection after the other.
#pragma once
#include <optional>

#include "base/pcg32.h"
#include "base/sliding_window.h"
#include "policy/cycle_clock.h"

namespace headrouter {

/// How much of one server's load is still to be migrated off, and at what pace. Loads in mean load units.
class SurplusDrain {
   public:
    struct State {
        SlidingWindow<cycle_clock::cycles_remembered> excess{cycle_clock::cycle_time};
        double remaining = 0;  ///< to be migrated off
        Duration interval;     ///< between two steps
        bool is_active = false;
        bool protected_go_first = false;
    };

    [[nodiscard]] const State& state() const { return state_; }
    void restore(const State& state) { state_ = state; }

    /// Migrates `load` off in about so many steps spread over `duration`. Returns when the first step is due,
    /// by chance within one interval, so that balancers do not act together; nothing if a drain runs already.
    std::optional<TimePoint> start(TimePoint now, double load, int steps, Duration duration, Pcg32& random);
    /// A step is due. False where nothing is left to migrate; the drain has ended then.
    bool begin_step();
    /// A connection of so much load was migrated. Returns when the next step is due, if there is one.
    std::optional<TimePoint> end_step(TimePoint now, double migrated);
    double remaining() const { return state_.remaining; }

    /// The server is over its share by `excess`; returns the largest excess of the last cycles.
    double record_excess(TimePoint now, double excess);
    void forget_excess() { state_.excess.clear(); }

    /// Protected connections stay until their server is balanced once, and go first after that.
    void set_protected_first(bool first) { state_.protected_go_first = first; }
    bool protected_go_first() const { return state_.protected_go_first; }

   private:
    State state_;
};

}  // namespace headrouter
