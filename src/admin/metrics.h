/// The metrics that operators read with the command METRICS. No I/O: the caller takes a new snapshot for
/// each command.
#pragma once
#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace headrouter::admin {

/// How the setup of a request that this process accepted ended. A request has one outcome, or none if its
/// client disconnected before.
enum class SetupOutcome {
    succeeded,  ///< the client was informed that the request is established
    declined,   ///< the client was asked to retry later
    aborted     ///< the client received any other response
};

constexpr size_t setup_outcome_count = 3;

/// Counts setup outcomes by request class, from the start of the process.
class SetupCounters {
   public:
    explicit SetupCounters(size_t class_count) { grow_to(class_count); }

    /// Adds counters for new classes. A smaller `class_count` removes none: classes are never removed.
    void grow_to(size_t class_count);

    /// Counts an outcome. `request_class` is an index below the class count.
    void add(SetupOutcome outcome, int request_class);
    /// Counts a request that was written whole to a server.
    void add_forward() { ++forwards_; }

    /// Returns the counts of an outcome, indexed by request class.
    const std::vector<uint64_t>& by_class(SetupOutcome outcome) const;

    /// Returns the number of requests written whole to a server; each attempt counts.
    uint64_t forwards() const { return forwards_; }

   private:
    std::array<std::vector<uint64_t>, setup_outcome_count> by_outcome_;
    uint64_t forwards_ = 0;
};

/// Holds the values of one METRICS response.
struct MetricsSnapshot {
    std::vector<std::string> class_names;  ///< empty for a class that is no longer configured
    SetupCounters setups;
    size_t outstanding = 0;  ///< requests accepted or adopted that have not ended
    size_t discovered = 0;   ///< endpoints that are not removed
    size_t ejected = 0;      ///< discovered endpoints that currently receive no new request
};

/// Returns the metrics as one JSON object without a line end.
std::string to_json(const MetricsSnapshot& metrics);

}  // namespace headrouter::admin
