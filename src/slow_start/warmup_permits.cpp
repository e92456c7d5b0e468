#include "slow_start/warmup_permits.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace headrouter::slow_start {

namespace {

/// Balancers with neighbouring replica indexes are this fraction of a round apart, so that a tenth of the
/// balancers restarting together does not lose all of a server's permits of one window.
constexpr double stride_fraction = 0.618;

/// Loads above this, in mean load units, are treated as equal.
constexpr double max_request_load = 1e6;

/// Returns the position in a round, between 0 and 1, at which the permit of this balancer is issued. The
/// positions of all balancers are distinct and evenly spaced, so the number of permits in any interval of a
/// round is proportional to the interval's length, to within one.
double position_in_round(const SlowStartConfig& config, uint64_t server_hash) {
    const auto count = static_cast<uint64_t>(std::max(1, config.replica_count));
    auto stride = std::max<uint64_t>(1, static_cast<uint64_t>(stride_fraction * static_cast<double>(count)));
    while (std::gcd(stride, count) != 1) ++stride;
    const uint64_t position = (server_hash % count + config.replica_index % count * stride) % count;
    return (static_cast<double>(position) + 0.5) / static_cast<double>(count);
}

}  // namespace

// The cold capacity is the rate of new connections that fills the server to its warm capacity over its
// warm-up.
double overload_allowance(const SlowStartConfig& config, double warm_capacity) {
    if (config.warmup_time.ns <= 0) return 0;
    return config.overload_multiple * warm_capacity * (config.overload_window / config.warmup_time);
}

// A permit is valid for one window, so the requests sent within a window used permits issued within two
// windows: half of the allowance is issued per window. The overload rule tolerates twice the square root of
// the allowance in addition, for random variation. Permits are issued without random variation, so that
// tolerance is issued as well, halved in the same way.
double issued_allowance(double allowance) { return allowance / 2 + std::sqrt(allowance); }

void WarmupPermits::reset(TimePoint discovered_at) {
    state_ = State{};
    state_.discovered_at = discovered_at;
}

void WarmupPermits::update(TimePoint now, TimePoint server_started, const SlowStartConfig& config,
                           double warm_capacity, uint64_t server_hash) {
    const double issued_per_second = issued_allowance(overload_allowance(config, warm_capacity)) /
                                     to_seconds(config.overload_window) / std::max(1, config.replica_count);
    if (state_.updated_at.ns == 0) {
        state_.issued_level = issued_per_second * std::max(0.0, to_seconds(now - server_started));
        state_.discovery_level =
            issued_per_second * std::max(0.0, to_seconds(state_.discovered_at - server_started));
        state_.next_permit_level = position_in_round(config, server_hash);
    } else {
        state_.issued_level += issued_per_second * std::max(0.0, to_seconds(now - state_.updated_at));
    }
    state_.updated_at = now;
    const double oldest_valid = std::max(
        state_.discovery_level, state_.issued_level - issued_per_second * to_seconds(config.overload_window));
    if (state_.next_permit_level < oldest_valid)
        state_.next_permit_level += std::ceil(oldest_valid - state_.next_permit_level);
}

bool WarmupPermits::is_available(double load, const SlowStartConfig& config) const {
    if (state_.next_permit_level > state_.issued_level) return false;
    const auto permit_number =
        std::llround(state_.next_permit_level * std::max(1, config.replica_count) - 0.5);
    const auto permits_needed = static_cast<long long>(std::ceil(std::clamp(load, 1.0, max_request_load)));
    return permit_number % permits_needed == 0;
}

}  // namespace headrouter::slow_start
