#include "admin/counters.h"

#include <ostream>

namespace headrouter {

namespace {

struct CounterName {
    Counter counter;
    std::string_view name;
};

constexpr std::array<CounterName, counter_count> counter_names{{
    {Counter::connections_accepted, "conns_taken_in"},
    {Counter::connections_reset_in_queue, "connections_reset_in_queue"},
    {Counter::requests_accepted, "calls_taken_in"},
    {Counter::requests_adopted, "calls_inherited"},
    {Counter::requests_established, "calls_up"},
    {Counter::requests_rejected, "calls_rejected"},
    {Counter::requests_failed, "calls_released"},
    {Counter::requests_completed, "calls_completed"},
    {Counter::requests_migrated, "calls_moved"},
    {Counter::requests_left_by_client, "calls_left_by_client"},
    {Counter::requests_broken, "calls_broken"},
    {Counter::attempts_started, "legs_sent"},
    {Counter::attempts_at_capacity, "legs_full"},
    {Counter::attempts_error, "legs_error"},
    {Counter::attempts_timed_out, "legs_timed_out"},
    {Counter::attempts_connect_failed, "legs_connect_failed"},
    {Counter::attempts_reset, "legs_reset"},
    {Counter::attempts_cancelled, "legs_stopped"},
    {Counter::attempts_not_sent, "legs_not_sent"},
    {Counter::retries_out_of_time, "retries_out_of_time"},
    {Counter::servers_silent, "servers_silent"},
    {Counter::client_lines, "client_lines"},
    {Counter::server_lines, "server_lines"},
    {Counter::load_reports, "loads_told"},
    {Counter::latency_reports, "delays_told"},
    {Counter::pings_answered, "pings_answered"},
    {Counter::malformed_client_lines, "malformed_client_lines"},
    {Counter::ids_open_already, "ids_open_already"},
    {Counter::ids_run_already, "ids_run_already"},
    {Counter::clients_silent, "clients_silent"},
    {Counter::clients_cut, "clients_cut"},
    {Counter::lines_cut, "lines_cut"},
    {Counter::request_lines_unfinished, "request_lines_unfinished"},
    {Counter::request_lines_overdue, "request_lines_overdue"},
    {Counter::long_lines, "long_lines"},
    {Counter::odd_server_lines, "odd_server_lines"},
    {Counter::incomplete_responses, "incomplete_responses"},
    {Counter::late_events, "late_events"},
    {Counter::answers_overdue, "answers_overdue"},
    {Counter::endpoint_updates, "lists_told"},
    {Counter::endpoint_updates_malformed, "lists_garbled"},
    {Counter::discovery_requests_failed, "list_calls_failed"},
    {Counter::discovery_responses_late, "list_answers_late"},
    {Counter::reloads, "reloads"},
    {Counter::reloads_refused, "reloads_refused"},
    {Counter::refused_for_descriptors, "refused_for_descriptors"},
    {Counter::refused_for_memory, "refused_for_memory"},
    {Counter::refused_for_outdated_list, "refused_for_outdated_list"},
    {Counter::accepts_failed, "accepts_failed"},
    {Counter::backlog_turns_cut, "backlog_turns_cut"},
    {Counter::admin_requests, "ops_calls"},
    {Counter::admin_requests_refused, "ops_calls_refused"},
    {Counter::admin_connections_cut, "ops_cut"},
    {Counter::gossip_sent, "peers_told"},
    {Counter::gossip_received, "peers_heard"},
    {Counter::gossip_malformed, "peers_garbled"},
    {Counter::gossip_foreign, "peers_foreign"},
    {Counter::gossip_unsent, "peers_unsent"},
    {Counter::capture_events, "capture_events"},
    {Counter::capture_dropped, "capture_dropped"},
    {Counter::capture_faults, "capture_faults"},
    {Counter::broken_invariants, "broken_invariants"},
}};

/// Returns whether each row belongs to the enumerator with its index, so that none is missing, duplicate
/// or out of order.
constexpr bool rows_follow_enumerators() {
    for (size_t index = 0; index < counter_names.size(); ++index)
        if (counter_names[index].counter != static_cast<Counter>(index) || counter_names[index].name.empty())
            return false;
    return true;
}
static_assert(rows_follow_enumerators());

}  // namespace

std::string_view printed_name(Counter counter) { return counter_names[static_cast<size_t>(counter)].name; }

void Counters::print(std::ostream& out) const {
    std::string_view separator;
    for (const auto& [counter, name] : counter_names) {
        const uint64_t value = (*this)[counter];
        if (value == 0) continue;
        out << separator << name << '=' << value;
        separator = " ";
    }
}

std::vector<LogField> Counters::log_fields() const {
    std::vector<LogField> fields;
    for (const auto& [counter, name] : counter_names)
        if (const uint64_t value = (*this)[counter]; value != 0) fields.emplace_back(name, value);
    return fields;
}

}  // namespace headrouter
