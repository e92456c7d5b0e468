#include "policy/warmup_admission.h"

#include <algorithm>

#include "policy/eligibility.h"

namespace headrouter {

namespace {
/// Minimum ratio of the warm weight after a cycle to that before; the inverse is the maximum ratio.
constexpr double min_weight_ratio_per_cycle = 0.9;
}  // namespace

bool WarmupAdmission::is_cold(TimePoint now, const ServerState& server) const {
    return server.slow_start.is_cold(now, config_.slow_start_time);
}

double WarmupAdmission::slow_start_factor(TimePoint now, const ServerState& server) const {
    return server.slow_start.factor(now, config_.slow_start_time);
}

bool WarmupAdmission::admits(TimePoint now, ServerState& server, double load) const {
    if (!is_cold(now, server)) return true;
    return server.slow_start.has_permit(now, load, config_.slow_start_config(), warm_capacity(server, load),
                                        server.id_hash);
}

void WarmupAdmission::on_attempt_sent(TimePoint now, ServerState& server) const {
    if (is_cold(now, server)) server.slow_start.use_permit();
}

double WarmupAdmission::warm_capacity(const ServerState& server, double load) const {
    // Without a quota, the other balancers are assumed to have as much load as this one.
    const double fleet_load =
        config_.quota > 0 ? config_.quota : std::max(loads_.total(), load) * config_.replica_count;
    return fleet_load * ServerTable::listed_weight(server) / state_.warm_weight;
}

void WarmupAdmission::on_endpoints(TimePoint now) {
    double cold_weight = 0;
    for (const ServerState& server : servers_.all()) {
        if (!eligibility::takes_new_requests(server.endpoint.state)) continue;
        if (is_cold(now, server)) cold_weight += ServerTable::listed_weight(server);
    }
    // The cold servers are assumed to replace others, except at the first update, when no earlier fleet is
    // known.
    const double replaced_weight = servers_.is_first_update() ? 0 : cold_weight;
    state_.warm_weight = std::max(state_.warm_weight, servers_.active_listed_weight() - replaced_weight);
}

void WarmupAdmission::on_cycle() {
    state_.warm_weight =
        std::clamp(servers_.active_listed_weight(), state_.warm_weight * min_weight_ratio_per_cycle,
                   state_.warm_weight / min_weight_ratio_per_cycle);
}

}  // namespace headrouter
