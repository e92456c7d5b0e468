#include "hot_restart/balancer_state.h"

#include <algorithm>
#include <cstring>

#include "base/parse_error.h"
#include "capture/archive.h"
#include "capture/component_fields.h"
#include "capture/event_fields.h"

namespace headrouter {

namespace capture {

template <class Visitor>
void for_each_field(ClusterConfig& config, Visitor visit) {
    visit(config.policy);
    visit(config.request_class_names);
    visit(config.tenant_names);
    visit(config.zone_names);
    visit(config.reports_latency);
    visit(config.connect_timeout);
    visit(config.max_poll_interval);
}

template <class Visitor>
void for_each_field(EndpointTable::Entry& entry, Visitor visit) {
    visit(entry.address);
    visit(entry.state);
}

template <class Visitor>
void for_each_field(RequestLine& request_line, Visitor visit) {
    visit(request_line.line);
    visit(request_line.wire_id);
    visit(request_line.wait_offset);
    visit(request_line.wait_length);
    visit(request_line.request);
    visit(request_line.wait);
    visit(request_line.established_server);
}

template <class Visitor>
void for_each_field(ActiveRequest& request, Visitor visit) {
    visit(request.request_line);
    visit(request.server);
    visit(request.attempt_started_at);
    visit(request.adoption_retry_at);
    visit(NegativeForNone{request.attempt});
    visit(request.attempt_running);
    visit(request.is_established);
    visit(request.is_adopted);
    visit(request.server_line_incomplete);
    visit(request.migration_pending);
    visit(request.migration_requested_at);
    visit(request.may_have_run);
    visit(request.may_have_run_before_attempt);
}

template <class Visitor>
void for_each_field(LineConnection::State& connection, Visitor visit) {
    visit(connection.partial_line);
    visit(connection.unsent_bytes);
    visit(connection.is_connecting);
    visit(connection.is_paused);
}

template <class Visitor>
void for_each_field(Downstream::State::TransferredClient& client, Visitor visit) {
    visit(client.stage);
    visit(client.idle_since);
    visit(client.has_probed);
    visit(client.connection);
}

template <class Visitor>
void for_each_field(ReportClassifier::State& classifier, Visitor visit) {
    visit(classifier.latest_by_phase);
    visit(classifier.last_undecided_at);
}

template <class Visitor>
void for_each_field(AddressHealth& health, Visitor visit) {
    visit(health.attempts);
    visit(health.last_received);
    visit(health.failed_connects);
    visit(health.unanswered_attempts);
    visit(health.oldest_unanswered);
}

template <class Visitor>
void for_each_field(ReportHistory& history, Visitor visit) {
    visit(history.last_load);
    visit(history.last_latency_at);
    visit(history.undecided_at);
    visit(history.undecided_value);
    visit(history.last_latency);
}

template <class Visitor>
void for_each_field(Upstream::AttemptState& attempt, Visitor visit) {
    visit(attempt.request_line);
    visit(attempt.address);
    visit(attempt.stage);
    visit(attempt.response_deadline);
    visit(attempt.timer_due);
    visit(attempt.unanswered_since);
    visit(attempt.reports);
    visit(attempt.received_bye);
    visit(attempt.received_move);
    visit(attempt.is_reading_paused);
}

template <class Visitor>
void for_each_field(Upstream::State::TransferredAttempt& transferred, Visitor visit) {
    visit(transferred.attempt);
    visit(transferred.connection);
}

template <class Archive>
void visit(Archive& archive, Address& address) {
    std::string bytes(reinterpret_cast<const char*>(&address.bytes), address.size);
    visit(archive, bytes);
    if constexpr (Archive::writes) return;
    if (bytes.size() > sizeof address.bytes)
        throw ParseError("an address", "is " + std::to_string(bytes.size()) + " bytes long",
                         std::to_string(sizeof address.bytes) + " at most");
    std::memcpy(&address.bytes, bytes.data(), bytes.size());
    address.size = static_cast<socklen_t>(bytes.size());
}

}  // namespace capture

namespace hot_restart {

namespace {

using capture::visit;

// Visits a table in the layout of state version 1: all keys in ascending order, then the values in the same
// order.
template <class Archive, class Table>
void visit_keys_then_values(Archive& archive, Table& table) {
    std::vector<typename Table::key_type> keys = capture::sorted_keys(table);
    visit(archive, keys);
    for (const auto& key : keys) visit(archive, table[key]);
}

template <class Archive>
void visit_router(Archive& archive, RequestRouter::State& router) {
    visit(archive, router.config);
    visit_keys_then_values(archive, router.endpoints);
    visit_keys_then_values(archive, router.active_requests);
    visit(archive, router.started_at);
    visit(archive, router.recent_reconnects);
    visit(archive, router.policy);
    visit(archive, router.executed_ids);
}

template <class Archive>
void visit_downstream(Archive& archive, Downstream::State& downstream) {
    visit(archive, downstream.last_id);
    visit_keys_then_values(archive, downstream.clients);
    visit(archive, downstream.idle_clients);
}

template <class Archive>
void visit_upstream(Archive& archive, Upstream::State& upstream) {
    visit(archive, upstream.classifier);
    visit(archive, upstream.last_check);
    visit(archive, upstream.addresses);
    visit_keys_then_values(archive, upstream.attempts);
}

template <class Archive>
void visit_balancer(Archive& archive, BalancerState& balancer) {
    visit_router(archive, balancer.router);
    visit_downstream(archive, balancer.downstream);
    visit_upstream(archive, balancer.upstream);
    visit(archive, balancer.timers);
    visit(archive, balancer.list_version);
    visit(archive, balancer.list_source);
    visit(archive, balancer.list_staleness.confirmed_until);
    visit(archive, balancer.list_staleness.stale_from);
}

std::string with_id(const char* what, RequestId id) { return what + (" " + std::to_string(id)); }

void check(RequestId id, const RequestLine& request_line) {
    const size_t length = request_line.line.size();
    const bool is_inside =
        request_line.wait_offset <= length && request_line.wait_length <= length - request_line.wait_offset;
    if (!is_inside)
        throw ParseError(with_id("the request line of request", id), "has a wait field past its end",
                         "one within its " + std::to_string(length) + " bytes");
}

// Checks the conditions that the components rely on and do not check themselves when they restore their
// state.
void check(const BalancerState& state) {
    for (const auto& [id, request] : state.router.active_requests) check(id, request.request_line);
    for (const RequestId id : state.downstream.idle_clients)
        if (!state.downstream.clients.contains(id))
            throw ParseError(with_id("idle client", id), "is not among the clients");
    for (const auto& [id, transferred] : state.upstream.attempts)
        if (!state.upstream.addresses.contains(transferred.attempt.address))
            throw ParseError(with_id("the attempt of request", id), "has an unknown address");
}

}  // namespace

std::string encode(BalancerState state) {
    std::string bytes;
    capture::ByteWriter writer(bytes);
    visit_balancer(writer, state);
    return bytes;
}

BalancerState decode(std::string_view bytes) {
    BalancerState state;
    capture::ByteReader reader(bytes, "the state");
    visit_balancer(reader, state);
    reader.check_end();
    check(state);
    return state;
}

}  // namespace hot_restart
}  // namespace headrouter
