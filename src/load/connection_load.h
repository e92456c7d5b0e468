/// Sums the load of a set of connections, with the number of connections without a report by request class.
#pragma once
#include <cstddef>
#include <optional>
#include <vector>

#include "load/request_class_loads.h"

namespace headrouter {

/// Sums the load of established and pending connections. Each counts with its reported load or, without a
/// report, with the mean reported load of its request class. Loads are in microseconds of work per second; no
/// value if no load is reported.
struct ConnectionLoad {
    std::vector<double> unreported;  ///< number of connections without a reported load, by class
    double reported = 0;             ///< sum of the loads of all other connections

    /// Adds a connection of `request_class` with that load; `classes` is the number of request classes.
    void add(size_t request_class, std::optional<double> load, size_t classes) {
        unreported.resize(classes);
        if (load)
            reported += *load;
        else
            unreported[request_class] += 1;
    }
    /// Removes a connection that was added with the same load, or has reported that load since.
    void remove(size_t request_class, std::optional<double> load) {
        if (load)
            reported -= *load;
        else
            unreported[request_class] -= 1;
    }
    /// Changes the load of a connection from `before` to the reported `load`.
    void report(size_t request_class, std::optional<double> before, double load) {
        if (!before) unreported[request_class] -= 1;
        reported += load - before.value_or(0);
    }
    /// Returns the load of all connections in mean load units.
    double in_units(const RequestClassLoads& loads) const {
        double load = reported / loads.mean_unit();
        for (size_t type = 0; type < unreported.size(); ++type)
            if (unreported[type] > 0) load += unreported[type] * loads.relative_load(type);
        return load;
    }
};

}  // namespace headrouter
