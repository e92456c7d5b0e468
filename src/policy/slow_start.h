/// Limits the load that a server gets after its start (slow start).
#pragma once
#include <optional>

#include "base/time.h"
#include "slow_start/warmup_permits.h"

namespace headrouter {

/// Controls the slow start of one server: the server's share grows over the configured time, and until the
/// server is warm each attempt needs a warm-up permit, so that all balancers together do not overload it.
class SlowStart {
   public:
    struct State {
        std::optional<TimePoint> started;  ///< start of the process, if known
        bool is_restart_expected = false;
        slow_start::WarmupPermits permits;
    };

    [[nodiscard]] const State& state() const { return state_; }
    void restore(const State& state) { state_ = state; }

    /// Begins the slow start of a process that started at `started` and that this balancer discovered at
    /// `now`.
    void begin(TimePoint now, TimePoint started);
    /// Records that the process has crashed: the next process to answer is a new one, even before the
    /// endpoint list reports it.
    void expect_restart() { state_.is_restart_expected = true; }
    bool is_restart_expected() const { return state_.is_restart_expected; }
    /// Returns the start of the process, if known.
    const std::optional<TimePoint>& started() const { return state_.started; }

    /// Returns the fraction of the server's weight that counts, from 0 at the start of the process to 1 after
    /// `duration`.
    double factor(TimePoint now, Duration duration) const;
    bool is_cold(TimePoint now, Duration duration) const { return factor(now, duration) < 1; }

    /// Returns whether this balancer has a permit for a connection of `load` mean load units. Only for a cold
    /// server; `capacity` is the load that the server carries when warm, in mean load units, and
    /// `server_hash` the hash of its id.
    bool has_permit(TimePoint now, double load, const slow_start::SlowStartConfig& config, double capacity,
                    uint64_t server_hash);
    void use_permit() { state_.permits.consume(); }

   private:
    State state_;
};

}  // namespace headrouter
