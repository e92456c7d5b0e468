#include "admin/admin_server.h"

#include <algorithm>
#include <cerrno>

#include "transport/clock.h"
#include "transport/socket_error.h"

namespace headrouter::admin {

namespace {

// A command is a short line that operators' tools send at once; operators expect a response within a
// second or two.
constexpr Duration command_timeout = seconds(1.5);
// Connections accepted per event-loop iteration; the limit keeps a burst of admin connections from
// delaying the balancer's clients.
constexpr int accepts_per_turn = 8;
// Pause before accept is retried after the machine lacked a resource for it.
constexpr Duration pause_after_failure = millis(20);
constexpr size_t max_waiting = AdminServer::max_connections / 2;

}  // namespace

AdminServer::AdminServer(struct ev_loop* loop, const AdminCommands& commands, Counters& counters)
    : loop_(loop),
      commands_(commands),
      counters_(counters),
      closer_(loop),
      // handles events before all connections of clients and servers
      accept_watcher_(
          loop, [this](int /*ready_events*/) { accept_pending(); }, EV_MAXPRI),
      accept_retry_(loop, [this] { accept_watcher_.start(listener_.get(), EV_READ); }) {
    closer_.set_limit(max_connections - max_waiting);
}

void AdminServer::listen(const Address& address) {
    listener_ = listen_on(address);
    accept_watcher_.start(listener_.get(), EV_READ);
}

void AdminServer::accept_pending() {
    for (int accepted = 0; accepted < accepts_per_turn; ++accepted) {
        Fd fd(accept4(listener_.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
        if (!fd) {
            const AcceptError error = classify_accept_error(errno);
            if (error == AcceptError::queue_empty) return;
            if (error == AcceptError::connection_failed) continue;
            // Without this the loop would report the listening socket as readable again at once.
            accept_watcher_.stop();
            return accept_retry_.start_once(pause_after_failure);
        }
        disable_nagle(fd.get());
        if (clients_.size() >= max_waiting) drop_oldest_client();
        add_client(std::move(fd));
    }
}

// Adds the client to the list before its connection starts, because start() may report bytes at once.
void AdminServer::add_client(Fd fd) {
    constexpr uint64_t unused_id = 0;
    clients_.push_back({nullptr, Clock::now()});
    LineConnection::Owner& owner = *this;
    auto& connection = clients_.back().connection;
    connection = std::make_unique<LineConnection>(loop_, std::move(fd), owner, unused_id, EV_MAXPRI);
    connection->start();
}

void AdminServer::drop_oldest_client() {
    counters_.add(Counter::admin_connections_cut);
    const std::unique_ptr<LineConnection> connection = std::move(clients_.front().connection);
    clients_.pop_front();
    connection->abort();
}

std::unique_ptr<LineConnection> AdminServer::remove_client(const LineConnection& connection) {
    const auto client = std::find_if(clients_.begin(), clients_.end(), [&](const Client& candidate) {
        return candidate.connection.get() == &connection;
    });
    std::unique_ptr<LineConnection> removed = std::move(client->connection);
    clients_.erase(client);
    return removed;
}

void AdminServer::respond(LineConnection& connection, std::string_view line, bool is_complete) {
    const AdminResponse response = commands_.execute(line, is_complete);
    counters_.add(response.is_error() ? Counter::admin_requests_refused : Counter::admin_requests);
    connection.send(response.text);
    std::unique_ptr<LineConnection> removed = remove_client(connection);
    removed->finish();
    closer_.add(std::move(removed));
}

void AdminServer::on_bytes(LineConnection& connection, std::string_view line, bool is_complete) {
    respond(connection, line, is_complete);
}

void AdminServer::on_closed(LineConnection& connection, CloseReason reason) {
    std::unique_ptr<LineConnection> removed = remove_client(connection);
    if (reason == CloseReason::fin)
        removed->finish();
    else
        removed->abort();
    closer_.add(std::move(removed));
}

void AdminServer::time_out_idle(TimePoint now) {
    while (!clients_.empty() && now - clients_.front().connected_at > command_timeout) {
        counters_.add(Counter::admin_connections_cut);
        respond(*clients_.front().connection, {}, false);
    }
}

}  // namespace headrouter::admin
