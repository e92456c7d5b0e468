#include "fleet_load/subset_order.h"

#include <algorithm>
#include <cmath>
#include <cstddef>

#include "base/pcg32.h"

namespace headrouter::fleet_load {

namespace {

/// Fractional part of the golden ratio.
constexpr double golden_step = 0.6180339887498949;

/// Steps for each server after which the walk ends. Servers not visited by then have almost no weight and
/// come last.
constexpr size_t max_steps_per_server = 16;

/// Returns the active servers in the order of their arcs on the circle.
std::vector<size_t> circle_order(const std::vector<WeightedServer>& servers) {
    std::vector<size_t> order;
    for (size_t k = 0; k < servers.size(); ++k)
        if (servers[k].is_active) order.push_back(k);
    std::sort(order.begin(), order.end(),
              [&](size_t a, size_t b) { return servers[a].hash < servers[b].hash; });
    return order;
}

/// Returns the end of each server's arc, in the order given.
std::vector<double> arc_ends(const std::vector<WeightedServer>& servers, const std::vector<size_t>& order) {
    std::vector<double> ends;
    double end = 0;
    for (const size_t k : order) {
        end += servers[k].weight;
        ends.push_back(end);
    }
    return ends;
}

/// Gives each server the threshold of the step that first visits its arc.
class CircleWalk {
   public:
    CircleWalk(const std::vector<WeightedServer>& servers, std::vector<double> thresholds)
        : servers_(servers),
          order_(circle_order(servers)),
          ends_(arc_ends(servers, order_)),
          was_visited_(servers.size()),
          thresholds_(std::move(thresholds)) {}

    /// Walks from `entry`, a position on the circle between 0 and 1, and returns the thresholds.
    std::vector<double> walk_from(double entry) && {
        const auto max_steps = static_cast<double>(order_.size() * max_steps_per_server);
        size_t unvisited = order_.size();
        double steps = 0;
        for (; unvisited > 0 && steps < max_steps; ++steps)
            if (visit(server_at(std::fmod(entry + steps * golden_step, 1.0)), steps)) --unvisited;
        for (const size_t server : order_)
            if (visit(server, steps)) ++steps;
        return std::move(thresholds_);
    }

   private:
    [[nodiscard]] double circumference() const { return ends_.empty() ? 0 : ends_.back(); }

    [[nodiscard]] size_t server_at(double position) const {
        const auto arc = std::upper_bound(ends_.begin(), ends_.end(), position * circumference());
        const auto index = static_cast<size_t>(arc - ends_.begin());
        return order_[std::min(order_.size() - 1, index)];
    }

    /// Sets the server's threshold; returns false if the server was visited before.
    bool visit(size_t server, double step) {
        if (was_visited_[server]) return false;
        was_visited_[server] = true;
        thresholds_[server] = (step + 0.5) * servers_[server].weight / circumference();
        return true;
    }

    const std::vector<WeightedServer>& servers_;
    std::vector<size_t> order_;
    std::vector<double> ends_;
    std::vector<bool> was_visited_;
    std::vector<double> thresholds_;
};

}  // namespace

std::vector<double> independent_thresholds(uint64_t replica_index,
                                           const std::vector<WeightedServer>& servers) {
    std::vector<double> thresholds;
    thresholds.reserve(servers.size());
    for (const WeightedServer& server : servers)
        thresholds.push_back(-std::log(Pcg32(replica_index, server.hash).uniform()));
    return thresholds;
}

std::vector<double> subset_thresholds(uint64_t replica_index, int replica_count,
                                      const std::vector<WeightedServer>& servers) {
    const double entry = (static_cast<double>(replica_index) + 0.5) / std::max(1, replica_count);
    // Inactive servers keep the threshold of the independent draw.
    return CircleWalk(servers, independent_thresholds(replica_index, servers)).walk_from(entry);
}

}  // namespace headrouter::fleet_load
