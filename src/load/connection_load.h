/// The load of a set of connections, as far as it is reported. Plain sums; nothing is decided.
#pragma once
#include <cstddef>
#include <optional>
#include <vector>

#include "load/request_class_loads.h"

namespace headrouter {

/// Connections established or pending. Each counts by its reported load, else by what its request class was
/// seen to need. Loads in microseconds a second; nothing where none is reported.
struct ConnectionLoad {
    std::vector<double> unreported;  ///< for each request class, connections whose load is not reported
    double reported = 0;             ///< of all others

    /// A connection of the class, one of so many classes, with that load.
    void add(size_t request_class, std::optional<double> load, size_t classes) {
        unreported.resize(classes);
        if (load)
            reported += *load;
        else
            unreported[request_class] += 1;
    }
    /// Takes one away that was added with the same load, or that has reported it since.
    void remove(size_t request_class, std::optional<double> load) {
        if (load)
            reported -= *load;
        else
            unreported[request_class] -= 1;
    }
    /// A connection that had the load `before` reports `load`.
    void report(size_t request_class, std::optional<double> before, double load) {
        if (!before) unreported[request_class] -= 1;
        reported += load - before.value_or(0);
    }
    /// In mean load units.
    double in_units(const RequestClassLoads& loads) const {
        double load = reported / loads.mean_unit();
        for (size_t type = 0; type < unreported.size(); ++type)
            if (unreported[type] > 0) load += unreported[type] * loads.relative_load(type);
        return load;
    }
};

}  // namespace headrouter
