/// Slow start: how much a server that has just started may be sent.
#pragma once
#include <optional>

#include "base/time.h"
#include "slow_start/warmup_permits.h"

namespace headrouter {

/// The slow start of one server: its share grows over the configured time, and until it is warm each attempt
/// needs a warm-up permit, so that all balancers together do not push it over.
class SlowStart {
   public:
    struct State {
        std::optional<TimePoint> started;  ///< when the process did, where that is known
        bool is_restart_expected = false;
        slow_start::WarmupPermits permits;
    };

    [[nodiscard]] const State& state() const { return state_; }
    void restore(const State& state) { state_ = state; }

    /// The server's process started at `started`; this balancer learns of it now.
    void begin(TimePoint now, TimePoint started);
    /// The process is known to have died: what answers next is a new one, before the list says so.
    void expect_restart() { state_.is_restart_expected = true; }
    bool is_restart_expected() const { return state_.is_restart_expected; }
    /// When the process started, where that is known.
    const std::optional<TimePoint>& started() const { return state_.started; }

    /// The part of its weight that counts, from 0 at the start of the process to 1 after `duration`.
    double factor(TimePoint now, Duration duration) const;
    bool is_cold(TimePoint now, Duration duration) const { return factor(now, duration) < 1; }

    /// Whether this balancer has a permit for a connection of so many mean load units. Only for a cold server
    /// that carries `capacity` of them when warm; `server_hash` is of its id.
    bool has_permit(TimePoint now, double load, const slow_start::SlowStartConfig& config, double capacity,
                    uint64_t server_hash);
    void use_permit() { state_.permits.consume(); }

   private:
    State state_;
};

}  // namespace headrouter
