#include "downstream/client_listener.h"

#include <fcntl.h>
#include <sys/socket.h>

#include <cerrno>
#include <utility>

#include "transport/socket_error.h"

namespace headrouter {

namespace {
// Small, so that connected clients are served between two batches.
constexpr int max_accepts_per_event = 16;

// The length of the queue: all that waited in it when accept_backlog() was called are accepted by that call.
constexpr int max_backlog_accepts = SOMAXCONN;

FileDescriptor open_spare_descriptor() { return FileDescriptor(::open("/dev/null", O_RDONLY | O_CLOEXEC)); }

// Without a pause, the event loop would report the socket again at once for as long as waiting clients cannot
// be accepted.
constexpr Duration retry_delay = millis(20);
}  // namespace

ClientListener::ClientListener(struct ev_loop* loop, Counters& counters, Handler on_accepted,
                               Handler on_exhausted)
    : counters_(counters),
      on_accepted_(std::move(on_accepted)),
      on_exhausted_(std::move(on_exhausted)),
      spare_(open_spare_descriptor()),
      watcher_(loop, [this](int) { accept_batch(); }),
      retry_timer_(loop, [this] { update_watcher(); }) {}

void ClientListener::open(FileDescriptor socket) {
    watcher_.stop();
    socket_ = std::move(socket);
    pause(false);
}

void ClientListener::pause(bool paused) {
    is_paused_ = paused;
    retry_timer_.stop();
    update_watcher();
}

void ClientListener::update_watcher() {
    if (is_paused_)
        watcher_.stop();
    else
        watcher_.start(socket_.get(), EV_READ);
}

void ClientListener::retry_later() {
    watcher_.stop();
    if (!is_paused_) retry_timer_.start_once(retry_delay);
}

bool ClientListener::accept_backlog(const Handler& handler) {
    bool had_clients = false;
    int failures = 0;
    // Clients that come again as soon as they are turned away would otherwise keep the queue filled for ever.
    for (int accepts = 0; accepts < max_backlog_accepts && failures < max_accepts_per_event; ++accepts) {
        FileDescriptor client = accept_one();
        if (!client) {
            const AcceptError error = classify_accept_error(errno);
            if (error == AcceptError::queue_empty) return had_clients;
            if (error != AcceptError::connection_failed) return true;
            ++failures;
            continue;
        }
        failures = 0;
        counters_.add(Counter::connections_accepted);
        handler(std::move(client));
        had_clients = true;
    }
    counters_.add(Counter::backlog_turns_cut);
    return true;
}

FileDescriptor ClientListener::accept_one() {
    return FileDescriptor(accept4(socket_.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
}

void ClientListener::accept_batch() {
    if (!spare_) spare_ = open_spare_descriptor();
    bool made_progress = false;
    for (int count = 0; count < max_accepts_per_event; ++count) {
        FileDescriptor client = accept_one();
        if (client) {
            made_progress = true;
            counters_.add(Counter::connections_accepted);
            on_accepted_(std::move(client));
            continue;
        }
        const AcceptError error = classify_accept_error(errno);
        if (error == AcceptError::queue_empty) return;
        counters_.add(Counter::accepts_failed);
        if (error == AcceptError::connection_failed) continue;
        if (error == AcceptError::no_descriptor && accept_by_spare_descriptor()) return;
        return retry_later();
    }
    if (!made_progress) retry_later();
}

// Called when no descriptor is left in spite of the reserve: closing the spare one frees a descriptor with
// which the client can at least be answered. Returns false if accepting failed even so.
bool ClientListener::accept_by_spare_descriptor() {
    spare_.close();
    FileDescriptor client = accept_one();
    const bool is_accepted = static_cast<bool>(client);
    if (is_accepted) on_exhausted_(std::move(client));
    spare_ = open_spare_descriptor();
    return is_accepted;
}

}  // namespace headrouter
