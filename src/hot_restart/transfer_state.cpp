#include "hot_restart/transfer_state.h"

#include <xxhash.h>

#include <algorithm>

#include "base/parse_error.h"
#include "capture/policy_visits.h"
#include "hot_restart/state_version.h"

namespace headrouter {

namespace capture {
template <class A>
void visit(A& a, headrouter::ClusterConfig& t) {
    visit(a, t.policy), visit(a, t.request_class_names), visit(a, t.tenant_names), visit(a, t.zone_names);
    visit(a, t.reports_latency), visit(a, t.connect_timeout), visit(a, t.max_poll_interval);
}

template <class A>
void visit(A& a, RequestLine& o) {
    visit(a, o.line), visit(a, o.wire_id), visit(a, o.wait_offset), visit(a, o.wait_length),
        visit(a, o.request);
    visit(a, o.wait), visit(a, o.established_at);
    if (o.wait_offset > o.line.size() || o.wait_length > o.line.size() - o.wait_offset)
        throw ParseError("a place in a line lies behind its end");
}

template <class A>
void visit(A& a, ReportHistory& history) {
    visit(a, history.last_load);
    visit(a, history.last_latency_at);
    visit(a, history.undecided_at);
    visit(a, history.undecided_value);
    visit(a, history.last_latency);
}

template <class A>
void visit(A& a, Address& address) {
    std::string bytes(reinterpret_cast<const char*>(&address.bytes), address.size);
    visit(a, bytes);
    if (bytes.size() > sizeof address.bytes) throw ParseError("an address is too long");
    std::memcpy(&address.bytes, bytes.data(), bytes.size());
    address.size = static_cast<socklen_t>(bytes.size());
}
}  // namespace capture

namespace hot_restart {
using capture::visit;

// The descriptors beside the bytes: borrowed on the way out, owned on the way in.
struct Descriptors {
    std::vector<int> given;
    std::vector<Fd> taken;
    size_t next = 0;
    Fd take() {
        if (next == taken.size()) throw ParseError("a descriptor is missing");
        return std::move(taken[next++]);
    }
};
}  // namespace hot_restart

// The keys in their order, so that the same table gives the same bytes whatever its history.
template <class Table>
static std::vector<typename Table::key_type> sorted_keys(const Table& table) {
    std::vector<typename Table::key_type> keys;
    keys.reserve(table.size());
    for (const auto& entry : table) keys.push_back(entry.first);
    std::sort(keys.begin(), keys.end());
    return keys;
}

struct HandoverAccess {
    using Descriptors = hot_restart::Descriptors;

    template <class A>
    static void visit_conn(A& a, Descriptors& fds, std::unique_ptr<LineConnection>& conn,
                           struct ev_loop* loop, LineConnection::Owner& owner, uint64_t id) {
        if constexpr (A::writes)
            fds.given.push_back(conn->socket_.get());
        else
            conn = std::make_unique<LineConnection>(loop, fds.take(), owner, id);
        std::string out = conn->output_.substr(conn->output_sent_);
        capture::visit(a, conn->input_), capture::visit(a, out);
        capture::visit(a, conn->is_connecting_), capture::visit(a, conn->is_paused_);
        if constexpr (A::writes) return;
        conn->output_ = std::move(out);
        conn->update_buffered_total();
        conn->update_watcher();
    }

    // A table by call, in the order of the ids; `make` brings an entry for one that is read.
    template <class A, class Table, class Make, class Visit>
    static void visit_calls(A& a, Table& table, Make make, Visit visit_one) {
        std::vector<RequestId> ids = sorted_keys(table);
        capture::visit(a, ids);
        for (const RequestId id : ids) {
            if constexpr (!A::writes) make(id);
            visit_one(id, table.at(id));
        }
    }

    template <class A>
    static void visit_state(A& a, Descriptors& fds, Downstream& c) {
        capture::visit(a, c.last_id_);
        visit_calls(
            a, c.clients_, [&](RequestId id) { c.clients_[id]; },
            [&](RequestId id, Client& client) {
                capture::visit(a, client.stage), capture::visit(a, client.idle_since);
                capture::visit(a, client.has_probed);
                visit_conn(a, fds, client.connection, c.loop_, c, id);
            });
        std::vector<RequestId> idle = c.idle_clients_.ids();
        capture::visit(a, idle);
        if constexpr (A::writes) return;
        for (const RequestId id : idle) {
            Client& client = c.clients_.at(id);
            // The form has no place for these two; for a client that has not probed they are exact.
            client.connected_at = client.idle_since;
            client.line_started_at = client.idle_since;
            c.idle_clients_.add(client);
        }
    }

    template <class A>
    static void visit_state(A& a, Descriptors& fds, Upstream& s) {
        capture::visit(a, s.classifier_.latest_by_phase_);
        capture::visit(a, s.classifier_.last_undecided_at_);
        capture::visit(a, s.last_check_);
        auto& addresses = s.addresses_.addresses_;
        const size_t address_count = capture::visit_size(a, addresses.size());
        const auto visit_health = [&](AddressHealth& health) {
            capture::visit(a, health.attempts);
            capture::visit(a, health.last_received);
            capture::visit(a, health.failed_connects);
            capture::visit(a, health.unanswered_attempts);
            capture::visit(a, health.oldest_unanswered);
        };
        if constexpr (A::writes) {
            for (std::string& address : sorted_keys(addresses)) {
                capture::visit(a, address);
                visit_health(addresses.at(address));
            }
        } else {
            for (size_t k = 0; k < address_count; ++k) {
                std::string bytes;
                capture::visit(a, bytes);
                visit_health(addresses[bytes]);
            }
        }
        visit_calls(
            a, s.attempts_, [&](RequestId id) { s.attempts_[id] = s.make_attempt(id); },
            [&](RequestId id, std::unique_ptr<Upstream::Attempt>& attempt) {
                capture::visit(a, attempt->request_line);
                capture::visit(a, attempt->address);
                capture::visit(a, attempt->stage);
                capture::visit(a, attempt->response_deadline);
                capture::visit(a, attempt->timer_due);
                capture::visit(a, attempt->unanswered_since);
                capture::visit(a, attempt->reports);
                capture::visit(a, attempt->has_said_bye);
                capture::visit(a, attempt->has_said_move);
                capture::visit(a, attempt->is_reading_paused);
                if (!addresses.contains(attempt->address))
                    throw ParseError("an attempt is to no known address");
                visit_conn(a, fds, attempt->connection, s.loop_, s, id);
                if constexpr (!A::writes)
                    if (attempt->stage != Upstream::Stage::established) {
                        const TimePoint timer_due = attempt->timer_due;
                        Upstream::set_timer(*attempt, timer_due - Clock::now());
                        attempt->timer_due = timer_due;  // as the old process had it, to the nanosecond
                    }
            });
    }

    template <class A>
    static void visit_flow(A& a, ActiveRequest& f) {
        capture::visit(a, f.request_line), capture::visit(a, f.server),
            capture::visit(a, f.attempt_started_at);
        capture::visit(a, f.adoption_retry_at);
        capture::visit_negative_for_none(a, f.attempt);
        capture::visit(a, f.attempt_running);
        capture::visit(a, f.is_established), capture::visit(a, f.is_adopted),
            capture::visit(a, f.in_mid_line);
        capture::visit(a, f.migration_pending), capture::visit(a, f.migration_requested_at);
        capture::visit(a, f.may_have_run), capture::visit(a, f.may_have_run_before_attempt);
    }

    template <class A>
    static void visit_state(A& a, EndpointTable& r) {
        std::vector<ServerId> ids = sorted_keys(r.entries_);
        capture::visit(a, ids);
        for (const ServerId& id : ids) {
            EndpointTable::Entry& entry = r.entries_[id];
            capture::visit(a, entry.address);
            capture::visit(a, entry.state);
        }
    }

    template <class A>
    static void visit_state(A& a, RequestRouter& e) {
        capture::visit(a, e.config_);
        visit_state(a, e.endpoints_);
        visit_calls(
            a, e.active_requests_.requests_, [&](RequestId id) { e.active_requests_.requests_[id]; },
            [&](RequestId, ActiveRequest& flow) {
                visit_flow(a, flow);
                if constexpr (!A::writes) e.active_requests_.wire_ids_.insert(flow.request_line.wire_id);
            });
        capture::visit(a, e.adopter_.started_at_);
        capture::visit(a, e.recent_reconnects_);
        std::string module;
        if constexpr (A::writes) module = e.policy_.state();
        capture::visit(a, module);
        if constexpr (!A::writes) e.policy_.restore(module);
        e.setup_counters_.grow_to(e.config_.request_class_names.size());
    }

    template <class A>
    static void visit_state(A& a, std::multimap<TimePoint, uint64_t>& timers) {
        std::vector<std::pair<TimePoint, uint64_t>> all(timers.begin(), timers.end());
        capture::visit(a, all);
        if constexpr (!A::writes) timers = {all.begin(), all.end()};
    }

    template <class A>
    static void visit_all(A& a, Descriptors& fds, hot_restart::Components& components) {
        visit_state(a, components.router);
        visit_state(a, fds, components.downstream);
        visit_state(a, fds, components.upstream);
        visit_state(a, components.timers);
        capture::visit(a, components.list_version);
        capture::visit(a, components.list_source);
        capture::visit(a, components.list_good_until);
    }
};

namespace hot_restart {

namespace {

// What is handed over is a moment old; more means another machine's clock, or a process that was stopped.
constexpr Duration max_age = seconds(5);

uint64_t checksum(std::string_view bytes) { return XXH64(bytes.data(), bytes.size(), 0); }

// What stands before the state itself.
struct Envelope {
    std::string version_name;
    TimePoint packed_at;
    uint64_t checksum = 0;
    std::string state;
};

template <class Archive>
void visit_envelope(Archive& archive, Envelope& envelope) {
    visit(archive, envelope.version_name);
    visit(archive, envelope.packed_at);
    visit(archive, envelope.checksum);
    visit(archive, envelope.state);
}

void check(const Envelope& envelope, TimePoint now) {
    if (envelope.version_name != state_version.name) throw ParseError("the state is of another version");
    const bool is_recent = envelope.packed_at <= now && now - envelope.packed_at <= max_age;
    if (!is_recent) throw ParseError("the state is of another time");
    if (envelope.checksum != checksum(envelope.state)) throw ParseError("the state is garbled");
}

}  // namespace

TransferState pack(Components components, TimePoint now) {
    Envelope envelope;
    Descriptors descriptors;
    capture::ByteWriter state_out(envelope.state);
    HandoverAccess::visit_all(state_out, descriptors, components);
    envelope.version_name = state_version.name;
    envelope.packed_at = now;
    envelope.checksum = checksum(envelope.state);

    TransferState packed;
    capture::ByteWriter out(packed.bytes);
    visit_envelope(out, envelope);
    packed.descriptors = std::move(descriptors.given);
    return packed;
}

void unpack(Components components, std::string_view bytes, std::vector<Fd> descriptors, TimePoint now) {
    Envelope envelope;
    capture::ByteReader in(bytes, "the transfer");
    visit_envelope(in, envelope);
    check(envelope, now);
    if (in.left() > 0) throw ParseError("the state is garbled");

    Descriptors taken;
    taken.taken = std::move(descriptors);
    capture::ByteReader state_in(envelope.state, "the state");
    HandoverAccess::visit_all(state_in, taken, components);
    if (state_in.left() > 0 || taken.next != taken.taken.size())
        throw ParseError("more came than the state speaks of");
}

}  // namespace hot_restart
}  // namespace headrouter
