#include "downstream/downstream.h"

#include <memory>
#include <utility>

#include "downstream/reply_lines.h"
#include "downstream/request_line_deadline.h"
#include "transport/clock.h"
#include "transport/line_text.h"

namespace headrouter {

namespace {
// With fewer free descriptors, a new connection is answered with BUSY at once. The router starts earlier to
// reject requests, but still reads them.
constexpr int min_free_descriptors = 24;

// With fewer free descriptors, the oldest lingering connection is closed even for a connection that is only
// answered with BUSY.
constexpr int min_free_to_reject = 6;

// Some clients write their line in small pieces over two seconds. A client that has begun its line gets more
// time than one that has sent nothing, since it is closer to a request.
constexpr IdleClients::Grace eviction_grace = {.for_first_byte = millis(100), .for_whole_line = seconds(2.5)};
constexpr IdleClients::Grace no_grace = {};

// The id of a connection that is only answered and closed; the ids of requests begin at 1.
constexpr RequestId no_request = 0;
}  // namespace

Downstream::Downstream(struct ev_loop* loop, LingeringCloser& lingering_closer, int max_descriptors,
                       Counters& counters, Log& log)
    : loop_(loop),
      lingering_closer_(lingering_closer),
      counters_(counters),
      client_log_(log, counters),
      descriptor_limit_(max_descriptors),
      listener_(
          loop, counters, [this](FileDescriptor socket) { on_accepted(std::move(socket)); },
          [this](FileDescriptor socket) { reject(std::move(socket)); }) {
    set_descriptor_limit(max_descriptors);
}

void Downstream::listen(const Address& address) { adopt_listener(listen_on(address, PortSharing::shared)); }

void Downstream::detach_all() {
    for (auto& [id, client] : clients_) client.connection->detach();
    idle_clients_.clear();
    clients_.clear();
}

// ---- hot restart ----

Downstream::State Downstream::state() const {
    State state;
    state.last_id = last_id_;
    for (const auto& [id, client] : clients_)
        state.clients[id] = {client.stage, client.idle_since, client.has_probed, client.connection->state()};
    state.idle_clients = idle_clients_.ids();
    return state;
}

std::vector<int> Downstream::descriptors() const {
    std::map<RequestId, int> by_id;
    for (const auto& [id, client] : clients_) by_id[id] = client.connection->descriptor();
    std::vector<int> descriptors;
    for (const auto& [id, descriptor] : by_id) descriptors.push_back(descriptor);
    return descriptors;
}

void Downstream::restore(const State& state, std::span<FileDescriptor> descriptors) {
    last_id_ = state.last_id;
    auto descriptor = descriptors.begin();
    for (const auto& [id, transferred] : state.clients) {
        Client& client = clients_[id];
        client.stage = transferred.stage;
        client.idle_since = transferred.idle_since;
        client.has_probed = transferred.has_probed;
        client.connection = make_connection(std::move(*descriptor++), id);
        client.connection->restore(transferred.connection);
    }
    for (const RequestId id : state.idle_clients) {
        Client& client = clients_.at(id);
        // The transferred state lacks these two times. For a client that has not probed, `idle_since` is the
        // exact value of both.
        client.connected_at = client.idle_since;
        client.line_started_at = client.idle_since;
        idle_clients_.add(client);
    }
}

// ---- admission ----

void Downstream::set_descriptor_limit(int max_descriptors) {
    descriptor_limit_.set(max_descriptors);
    lingering_closer_.set_limit(descriptor_limit_.max_idle_clients());
}

void Downstream::free_descriptors(int count) {
    while (!descriptor_limit_.allows(count)) {
        if (!lingering_closer_.evict_oldest() && !evict_idle(no_grace)) return;
    }
}

bool Downstream::evict_idle(const IdleClients::Grace& grace) {
    const Client* const client = idle_clients_.find_evictable(Clock::now(), grace);
    if (!client) return false;
    counters_.add(client->connection->has_partial_line() ? Counter::lines_cut : Counter::clients_cut);
    dismiss(client->connection->id(), DismissalReason::evicted, busy_reply);
    return true;
}

void Downstream::on_accepted(FileDescriptor socket) {
    // Nothing can reach this client any more. Usual clients wait in the listener's queue behind such
    // connections, so they cost as little as possible.
    if (pending_error(socket.get()) != 0) return counters_.add(Counter::connections_reset_in_queue);
    if (idle_clients_.size() >= descriptor_limit_.max_idle_clients()) evict_idle(eviction_grace);
    free_descriptors(min_free_descriptors);
    if (descriptor_limit_.allows(min_free_descriptors))
        add_client(std::move(socket));
    else
        reject(std::move(socket));
}

std::unique_ptr<LineConnection> Downstream::make_connection(FileDescriptor socket, RequestId id) {
    LineConnection::Owner& owner = *this;
    return std::make_unique<LineConnection>(loop_, std::move(socket), owner, id);
}

void Downstream::add_client(FileDescriptor socket) {
    disable_nagle(socket.get());
    const RequestId id = ++last_id_;
    Client& client = clients_[id];
    client.connection = make_connection(std::move(socket), id);
    client.connected_at = Clock::now();
    client.idle_since = client.connected_at;
    client.line_started_at = client.connected_at;
    idle_clients_.add(client);
    client_log_.on_connected(id, FileDescriptor::open_count());
    client.connection->start();
}

// Answers with BUSY without an entry in `clients_`. The connection lingers like any other, so that the client
// can read the answer.
void Downstream::reject(FileDescriptor socket) {
    counters_.add(Counter::refused_for_descriptors);
    if (!descriptor_limit_.allows(min_free_to_reject)) lingering_closer_.evict_oldest();
    std::unique_ptr<LineConnection> connection = make_connection(std::move(socket), no_request);
    connection->start();
    connection->send(busy_reply);
    connection->finish();
    lingering_closer_.add(std::move(connection));
}

bool Downstream::reject_backlog() {
    return listener_.accept_backlog([this](FileDescriptor socket) { reject(std::move(socket)); });
}

// ---- clients without a request ----

void Downstream::close_expired(TimePoint now) {
    for (const RequestId id : idle_clients_.expired(now)) {
        // Bytes that are still unread in the kernel may be the rest of the line, so they are read first.
        poll_now(id);
        const Client* const client = find(id);
        const bool awaits_request = client && client->stage == ClientStage::awaiting_request;
        if (!awaits_request || !IdleClients::is_expired(*client, now)) continue;
        counters_.add(Counter::clients_silent);
        const bool has_begun = client->connection->has_partial_line();
        dismiss(id, has_begun ? DismissalReason::unfinished_line : DismissalReason::silent, error_reply);
    }
}

void Downstream::dismiss_idle(bool all) {
    for (const RequestId id : all ? idle_clients_.ids() : idle_clients_.silent())
        dismiss(id, DismissalReason::shutting_down, busy_reply);
}

// A client that has probed may be sending its request right now. It gets BUSY instead of `line`, so that it
// may send the request again.
void Downstream::dismiss(RequestId id, DismissalReason reason, std::string_view line) {
    const Client& client = clients_.at(id);
    const std::string_view answer = client.has_probed ? busy_reply : line;
    client_log_.on_dismissed(client, reason, answer, Clock::now());
    reply(id, answer);
}

// ---- events of the connections ----

void Downstream::on_bytes(LineConnection& connection, std::string_view bytes, bool complete) {
    const RequestId id = connection.id();
    Client& client = clients_.at(id);
    switch (client.stage) {
        case ClientStage::awaiting_request: return on_first_line(client, bytes, complete);
        case ClientStage::awaiting_reply: return events_->on_early_client_data(id);
        case ClientStage::established: break;
    }
    counters_.add(complete ? Counter::client_lines : Counter::long_lines);
    events_->on_client_bytes(id, bytes);
}

void Downstream::on_first_line(Client& client, std::string_view bytes, bool complete) {
    if (complete && answer_probe(client, trim_line_end(bytes))) return;
    const RequestId id = client.connection->id();
    // The line is too long, or the client sent more bytes although it has to wait for the reply.
    if (!complete || client.connection->bytes_after_line() > 0) {
        counters_.add(Counter::malformed_client_lines);
        client_log_.on_malformed_line(
            client, complete ? "bytes after the request line" : "line too long, no line end found");
        return reply(id, error_reply);
    }
    client.stage = ClientStage::awaiting_reply;
    idle_clients_.remove(client);
    events_->on_request_line(id, bytes);
}

// Returns false if the line is not a probe.
bool Downstream::answer_probe(Client& client, std::string_view text) {
    LineConnection& connection = *client.connection;
    if (text == "PING") {
        counters_.add(Counter::pings_answered);
        client.has_probed = true;
        idle_clients_.refresh(client, Clock::now());
        connection.send(ping_reply);
    } else if (text == "STATS") {
        connection.send(stats_reply);
    } else {
        return false;
    }
    if (connection.unsent_bytes() > unsent_high_watermark) connection.flush();
    const bool is_not_reading = connection.unsent_bytes() > unsent_high_watermark;
    if (is_not_reading) close(connection.id(), CloseReason::reset);
    return true;
}

void Downstream::on_line_begun(LineConnection& connection) {
    Client& client = clients_.at(connection.id());
    if (client.stage != ClientStage::awaiting_request) return;
    const TimePoint now = Clock::now();
    client.line_started_at = request_line_start(client.connected_at, now);
    client_log_.on_line_begun(client, now);
}

void Downstream::on_closed(LineConnection& connection, CloseReason reason) {
    const RequestId id = connection.id();
    if (clients_.at(id).stage == ClientStage::awaiting_request)
        client_log_.on_left(clients_.at(id), reason, Clock::now());
    // A client that has shut down only its sending side can still read, so the router may reply before the
    // connection is closed.
    if (clients_.at(id).stage == ClientStage::awaiting_reply && reason == CloseReason::fin)
        events_->on_client_closed(id, reason);
    const Client* const client = find(id);
    if (!client) return;
    const ClientStage stage = client->stage;
    close(id, reason);
    const bool was_reset_while_waiting = stage == ClientStage::awaiting_reply && reason == CloseReason::reset;
    if (stage == ClientStage::established || was_reset_while_waiting) events_->on_client_closed(id, reason);
}

void Downstream::on_output_drained(LineConnection& connection) {
    const Client* const client = find(connection.id());
    if (client && client->stage == ClientStage::established) events_->on_client_writable(connection.id());
}

// ---- calls by the request router ----

Client* Downstream::find(RequestId id) {
    const auto it = clients_.find(id);
    return it == clients_.end() ? nullptr : &it->second;
}

void Downstream::forward(RequestId id, std::string_view bytes) {
    Client* const client = find(id);
    if (!client) return counters_.add(Counter::late_events);
    client->connection->send(bytes);
}

void Downstream::start(RequestId id) {
    Client* const client = find(id);
    if (!client) return counters_.add(Counter::late_events);
    client->stage = ClientStage::established;
}

void Downstream::reply(RequestId id, std::string_view line) {
    forward(id, line);
    close(id, CloseReason::fin);
}

void Downstream::close(RequestId id, CloseReason reason) {
    Client* const client = find(id);
    if (!client) return;
    if (reason == CloseReason::fin)
        client->connection->finish();
    else
        client->connection->abort();
    release(id);
}

void Downstream::release(RequestId id) {
    const auto it = clients_.find(id);
    if (it->second.stage == ClientStage::awaiting_request) idle_clients_.remove(it->second);
    lingering_closer_.add(std::move(it->second.connection));
    clients_.erase(it);
}

void Downstream::pause_reading(RequestId id, bool paused) {
    Client* const client = find(id);
    if (client) client->connection->pause_reading(paused);
}

size_t Downstream::unsent_bytes(RequestId id) const {
    const auto it = clients_.find(id);
    return it == clients_.end() ? 0 : it->second.connection->unsent_bytes();
}

bool Downstream::is_reset(RequestId id) const {
    const auto it = clients_.find(id);
    return it != clients_.end() && it->second.connection->is_reset();
}

void Downstream::poll_now(RequestId id) {
    Client* const client = find(id);
    if (client) client->connection->poll_now();
}

}  // namespace headrouter
