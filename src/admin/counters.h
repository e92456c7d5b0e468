/// Event counters of the balancer, from the start of the process.
#pragma once
#include <array>
#include <cassert>
#include <cstdint>
#include <iosfwd>
#include <string_view>
#include <vector>

#include "admin/log.h"

namespace headrouter {

/// Identifies a counter. Counters are printed in this order. The names that operators read are in
/// counters.cpp and must not change, even if an enumerator is renamed.
enum class Counter {
    connections_accepted,
    connections_reset_in_queue,
    requests_accepted,
    requests_adopted,
    requests_established,
    requests_rejected,
    requests_failed,
    requests_completed,
    requests_migrated,
    requests_left_by_client,
    requests_broken,
    attempts_started,
    attempts_at_capacity,
    attempts_error,
    attempts_timed_out,
    attempts_connect_failed,
    attempts_reset,
    attempts_cancelled,
    attempts_not_sent,
    retries_out_of_time,
    servers_silent,
    client_lines,
    server_lines,
    load_reports,
    latency_reports,
    pings_answered,
    malformed_client_lines,
    ids_open_already,
    ids_run_already,
    clients_silent,
    clients_cut,
    lines_cut,
    request_lines_unfinished,
    request_lines_overdue,
    long_lines,
    odd_server_lines,
    incomplete_responses,
    late_events,
    answers_overdue,
    endpoint_updates,
    endpoint_updates_malformed,
    discovery_requests_failed,
    discovery_responses_late,
    reloads,
    reloads_refused,
    refused_for_descriptors,
    refused_for_memory,
    refused_for_outdated_list,
    accepts_failed,
    backlog_turns_cut,
    admin_requests,
    admin_requests_refused,
    admin_connections_cut,
    gossip_sent,
    gossip_received,
    gossip_malformed,
    gossip_foreign,
    gossip_unsent,
    capture_events,
    capture_dropped,
    capture_faults,
    broken_invariants  // last one: counter_count is derived from it
};

constexpr size_t counter_count = static_cast<size_t>(Counter::broken_invariants) + 1;

/// Returns the name under which operators read a counter.
std::string_view printed_name(Counter counter);

/// Holds one value for each Counter. Not thread-safe: belongs to the thread of the event loop.
class Counters {
   public:
    void add(Counter counter, uint64_t count = 1) { values_[static_cast<size_t>(counter)] += count; }
    uint64_t operator[](Counter counter) const { return values_[static_cast<size_t>(counter)]; }

    /// Writes `name=value name=value ...` on one line, without a line end, and omits counters that are zero.
    void print(std::ostream& out) const;

    /// Returns the counters that are not zero as fields of a log line.
    std::vector<LogField> log_fields() const;

    /// Checks an invariant of the program: a violation aborts a debug build and is counted in a release
    /// build.
    void must_hold(bool holds) {
        assert(holds);
        if (!holds) add(Counter::broken_invariants);
    }

   private:
    std::array<uint64_t, counter_count> values_{};
};

}  // namespace headrouter
