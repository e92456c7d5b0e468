#include "upstream/upstream.h"

#include <algorithm>
#include <cerrno>
#include <utility>

#include "transport/clock.h"
#include "transport/socket_error.h"

namespace headrouter {

namespace {

// A healthy server answers each line at once, so a connection without an answer for longer than this belongs
// to a server that hangs, is cut off or has vanished. TCP itself would notice only after minutes.
constexpr Duration max_silence = seconds(1.5);
// If more time elapses between two checks, this process was stalled.
constexpr Duration max_check_interval = seconds(0.3);

std::string bytes_of(const Address& address) {
    return {reinterpret_cast<const char*>(&address.bytes), address.size};
}

}  // namespace

Upstream::Upstream(struct ev_loop* loop, LingeringCloser& lingering_closer, Counters& counters,
                   ReportClassifier classifier)
    : loop_(loop), lingering_closer_(lingering_closer), counters_(counters), classifier_(classifier) {}

// ---- attempts and their timers ----

Upstream::Attempt* Upstream::find(RequestId id) {
    const auto found = attempts_.find(id);
    return found == attempts_.end() ? nullptr : found->second.get();
}

std::unique_ptr<Upstream::Attempt> Upstream::make_attempt(RequestId id) {
    return std::make_unique<Attempt>(loop_, *this, id);
}

std::unique_ptr<LineConnection> Upstream::make_connection(FileDescriptor socket, RequestId id) {
    LineConnection::Owner& owner = *this;
    return std::make_unique<LineConnection>(loop_, std::move(socket), owner, id);
}

void Upstream::set_timer(Attempt& attempt, Duration delay) {
    attempt.timer_due = Clock::now() + delay;
    attempt.timer.start_once(delay);
}

void Upstream::set_timer_until_sent(Attempt& attempt, Duration delay) {
    const Duration time_left = attempt.send_deadline ? *attempt.send_deadline - Clock::now() : delay;
    attempt.timer_is_send_limit = time_left < delay;
    set_timer(attempt, std::min(time_left, delay));
}

Upstream::State Upstream::state() const {
    State state;
    state.classifier = classifier_.state();
    state.last_check = last_check_;
    state.addresses = addresses_.state();
    for (const auto& [id, attempt] : attempts_)
        state.attempts[id] = {static_cast<const AttemptState&>(*attempt), attempt->connection->state()};
    return state;
}

std::vector<int> Upstream::descriptors() const {
    std::map<RequestId, int> by_id;
    for (const auto& [id, attempt] : attempts_) by_id[id] = attempt->connection->descriptor();
    std::vector<int> descriptors;
    for (const auto& [id, descriptor] : by_id) descriptors.push_back(descriptor);
    return descriptors;
}

void Upstream::restore(State state, std::span<FileDescriptor> descriptors) {
    classifier_.restore(state.classifier);
    last_check_ = state.last_check;
    addresses_.restore(std::move(state.addresses));
    auto descriptor = descriptors.begin();
    for (auto& [id, transferred] : state.attempts) {
        std::unique_ptr<Attempt>& attempt = attempts_[id];
        attempt = make_attempt(id);
        static_cast<AttemptState&>(*attempt) = std::move(transferred.attempt);
        attempt->connection = make_connection(std::move(*descriptor++), id);
        attempt->connection->restore(std::move(transferred.connection));
        // `timer_due` keeps its exact transferred value, so `set_timer` is not used here.
        if (attempt->stage != Stage::established)
            attempt->timer.start_once(attempt->timer_due - Clock::now());
    }
}

void Upstream::detach_all() {
    for (auto& [id, attempt] : attempts_) attempt->connection->detach();
    attempts_.clear();
    addresses_.clear();
}

void Upstream::end_attempt(RequestId id, AttemptResult result) {
    const std::string reply(result.reply);  // copied: the connection that owns the bytes is closed next
    result.reply = reply;
    close(id, result.close_reason);
    events_->on_attempt_ended(id, result);
}

// ---- calls by the request router ----

void Upstream::start_attempt(RequestId id, const Address& address, std::string request_line,
                             const AttemptTimeouts& timeouts) {
    counters_.must_hold(!find(id));
    attempts_[id] = make_attempt(id);
    Attempt& attempt = *attempts_[id];
    attempt.request_line = std::move(request_line);
    attempt.address = bytes_of(address);
    addresses_.add_attempt(attempt.address);
    const TimePoint now = Clock::now();
    attempt.response_deadline = now + timeouts.response;
    if (timeouts.send) attempt.send_deadline = now + *timeouts.send;
    FileDescriptor fd = connect_to(address);
    if (!fd) {
        const bool is_local = is_local_connect_error(errno);
        const AttemptOutcome outcome = is_local ? AttemptOutcome::not_sent : AttemptOutcome::connect_failed;
        end_attempt(id, {outcome, CloseReason::reset, false, {}});
        return;
    }
    attempt.connection = make_connection(std::move(fd), id);
    attempt.connection->start_connecting();
    const bool has_connect_timeout = timeouts.connect.ns > 0;
    set_timer_until_sent(
        attempt, has_connect_timeout ? std::min(timeouts.connect, timeouts.response) : timeouts.response);
}

void Upstream::forward(RequestId id, std::string_view bytes) {
    Attempt* attempt = find(id);
    if (!attempt || attempt->stage != Stage::established) {
        counters_.add(Counter::late_events);
        return;
    }
    const bool is_first_unanswered = attempt->unanswered_since.ns == 0;
    if (is_first_unanswered && !attempt->is_reading_paused) attempt->unanswered_since = Clock::now();
    attempt->connection->send(bytes);
}

void Upstream::close(RequestId id, CloseReason reason) {
    const auto found = attempts_.find(id);
    if (found == attempts_.end()) return;
    const std::unique_ptr<Attempt> attempt = std::move(found->second);
    attempts_.erase(found);
    addresses_.remove_attempt(attempt->address);
    attempt->timer.stop();
    if (!attempt->connection) return;
    // A request line that is only partly sent must not be completed while the connection lingers: the server
    // would execute the request after all.
    if (reason == CloseReason::reset || attempt->is_unsent())
        attempt->connection->abort();
    else
        attempt->connection->finish();
    lingering_closer_.add(std::move(attempt->connection));
}

void Upstream::pause_reading(RequestId id, bool is_paused) {
    Attempt* attempt = find(id);
    if (!attempt || !attempt->connection || attempt->is_reading_paused == is_paused) return;
    attempt->is_reading_paused = is_paused;
    attempt->unanswered_since = TimePoint{};  // while reading is paused, missing answers are not silence
    attempt->connection->pause_reading(is_paused);
}

size_t Upstream::unsent_bytes(RequestId id) const {
    const auto found = attempts_.find(id);
    if (found == attempts_.end() || !found->second->connection) return 0;
    return found->second->connection->unsent_bytes();
}

// ---- events of the connections ----

void Upstream::on_connected(LineConnection& connection) {
    const RequestId id = connection.id();
    // While the connection was set up, the endpoint list may have changed or the client may have left. The
    // router can stop the request here for the last time before its first byte is sent.
    const bool may_send = events_->may_send(id);
    Attempt* attempt = find(id);
    if (!attempt) return;  // the router has ended the request in may_send
    if (!may_send) {
        end_attempt(id, {AttemptOutcome::not_sent, CloseReason::fin, false, {}});
        return;
    }
    attempt->stage = Stage::sending;
    set_timer_until_sent(*attempt, attempt->response_deadline - Clock::now());
    connection.send(attempt->request_line);  // calls on_output_drained, which may end the attempt
}

void Upstream::on_output_drained(LineConnection& connection) {
    Attempt* attempt = find(connection.id());
    if (!attempt) return;
    if (attempt->stage == Stage::sending && connection.unsent_bytes() == 0) {
        attempt->stage = Stage::awaiting_response;
        if (attempt->send_deadline) set_timer(*attempt, attempt->response_deadline - Clock::now());
        events_->on_attempt_written(connection.id());
    }
    if (attempt->stage == Stage::established) events_->on_server_writable(connection.id());
}

void Upstream::on_bytes(LineConnection& connection, std::string_view bytes, bool complete) {
    const RequestId id = connection.id();
    Attempt* attempt = find(id);
    if (!attempt) return;
    counters_.add(Counter::server_lines);
    if (!complete) counters_.add(Counter::long_lines);
    attempt->unanswered_since = TimePoint{};
    addresses_.on_received(attempt->address, Clock::now());
    const ServerLine line = split_server_line(bytes);
    const ServerWord word = server_word(line.word);
    if (complete && word == ServerWord::load) {
        on_report(*attempt, line.rest);
        attempt = find(id);
        if (!attempt || attempt->stage != Stage::established) return;
    }
    if (attempt->stage != Stage::established) {
        on_response(*attempt, bytes, complete);
        return;
    }
    const bool is_single_word = complete && line.rest.empty();
    if (is_single_word && word == ServerWord::bye) attempt->received_bye = true;
    if (is_single_word && word == ServerWord::move) attempt->received_move = true;
    events_->on_server_bytes(id, bytes, complete);
}

void Upstream::on_response(Attempt& attempt, std::string_view bytes, bool is_whole_line) {
    const ServerResponse response = read_response(bytes, is_whole_line);
    if (response.is_established) {
        attempt.stage = Stage::established;
        attempt.timer.stop();
        events_->on_attempt_established(attempt.id, bytes);
        return;
    }
    if (!is_whole_line) counters_.add(Counter::incomplete_responses);
    if (!response.is_valid) counters_.add(Counter::odd_server_lines);
    end_attempt(attempt.id, {response.outcome, CloseReason::fin, false, bytes});
}

void Upstream::on_closed(LineConnection& connection, CloseReason reason) {
    const Attempt* attempt = find(connection.id());
    if (!attempt) return;
    AttemptOutcome outcome = AttemptOutcome::reset;
    if (attempt->received_bye)
        outcome = AttemptOutcome::completed;
    else if (attempt->received_move)
        outcome = AttemptOutcome::cancelled;
    else if (attempt->is_unsent())
        outcome = AttemptOutcome::connect_failed;  // the request cannot have been executed
    end_attempt(connection.id(), {outcome, reason, false, {}});
}

void Upstream::on_timeout(RequestId id) {
    const Attempt* attempt = find(id);
    if (!attempt) return;
    AttemptOutcome outcome = AttemptOutcome::timed_out;
    if (attempt->is_unsent())
        outcome = attempt->timer_is_send_limit ? AttemptOutcome::not_sent : AttemptOutcome::connect_failed;
    const bool is_connect_timeout =
        attempt->stage == Stage::connecting && outcome == AttemptOutcome::connect_failed;
    if (is_connect_timeout) addresses_.on_connect_timeout(attempt->address);
    // This destroys the attempt and with it the timer that called this function.
    end_attempt(id, {outcome, CloseReason::fin, false, {}});
}

// ---- load and latency reports ----

void Upstream::on_report(Attempt& attempt, std::string_view value_text) {
    const std::optional<double> value = parse_report_value(value_text);
    if (!value) {
        counters_.add(Counter::odd_server_lines);
        return;
    }
    const ReportKind kind = classifier_.classify(Clock::now(), attempt.reports, *value);
    publish_report({attempt.id, kind, *value});
}

void Upstream::publish_report(const ResolvedReport& report) {
    switch (report.kind) {
        case ReportKind::load:
            counters_.add(Counter::load_reports);
            events_->on_load_report(report.id, report.value);
            return;
        case ReportKind::latency:
            counters_.add(Counter::latency_reports);
            events_->on_latency_report(report.id, report.value);
            return;
        case ReportKind::undecided: return;
    }
}

std::vector<Upstream::ResolvedReport> Upstream::resolve_reports(TimePoint now) {
    std::vector<ResolvedReport> resolved;
    for (const auto& [id, attempt] : attempts_) {
        const ReportKind kind = classifier_.resolve_undecided(now, attempt->reports);
        if (kind != ReportKind::undecided) resolved.push_back({id, kind, attempt->reports.undecided_value});
    }
    return resolved;
}

// ---- silent servers ----

void Upstream::count_unanswered(TimePoint now, Duration process_stall) {
    addresses_.begin_check(now, process_stall);
    for (const auto& [id, attempt] : attempts_) {
        if (attempt->stage != Stage::established || attempt->unanswered_since.ns == 0) continue;
        // Time for which this process was stalled does not count: the server's answer may still be unread.
        attempt->unanswered_since = attempt->unanswered_since + process_stall;
        addresses_.count_unanswered(attempt->address, now, attempt->unanswered_since);
    }
}

bool Upstream::is_silent(const Attempt& attempt, TimePoint now) const {
    if (attempt.stage != Stage::established) return false;
    const bool is_unanswered = attempt.unanswered_since.ns != 0;
    if (is_unanswered && now - attempt.unanswered_since > max_silence) return true;
    return addresses_.is_silent(attempt.address, now);
}

std::vector<RequestId> Upstream::silent_attempts(TimePoint now) const {
    std::vector<RequestId> silent;
    for (const auto& [id, attempt] : attempts_)
        if (is_silent(*attempt, now)) silent.push_back(id);
    return silent;
}

void Upstream::check_silence(TimePoint now) {
    const Duration elapsed = last_check_.ns == 0 ? Duration{} : now - last_check_;
    last_check_ = now;
    count_unanswered(now, elapsed > max_check_interval ? elapsed : Duration{});
    std::vector<ResolvedReport> reports = resolve_reports(now);
    std::vector<RequestId> silent = silent_attempts(now);
    // Sorted by id, so that the order of events does not depend on the iteration order of the hash table.
    std::sort(reports.begin(), reports.end(),
              [](const ResolvedReport& a, const ResolvedReport& b) { return a.id < b.id; });
    std::sort(silent.begin(), silent.end());
    for (const ResolvedReport& report : reports) publish_report(report);
    for (const RequestId id : silent) {
        counters_.add(Counter::servers_silent);
        end_attempt(id, {AttemptOutcome::reset, CloseReason::fin, true, {}});
    }
}

}  // namespace headrouter
