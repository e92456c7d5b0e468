#include "discovery/http_client.h"

#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <utility>

#include "transport/socket_error.h"

namespace headrouter {

namespace {

constexpr size_t receive_bytes = size_t{16} * 1024;

}  // namespace

std::string_view describe(HttpError error) {
    switch (error) {
        case HttpError::cannot_connect: return "cannot connect";
        case HttpError::send_failed: return "the request could not be sent";
        case HttpError::connection_reset: return "the connection was reset";
        case HttpError::connection_closed:
            return "the connection was closed before the response was complete";
        case HttpError::malformed_response: return "the response is not valid HTTP";
        case HttpError::unexpected_bytes: return "received bytes while no request was in flight";
        case HttpError::timed_out: return "the response timed out";
    }
    return "unknown";
}

HttpClient::HttpClient(struct ev_loop* loop, const Address& address, std::string host,
                       HttpClientEvents& events)
    : address_(address),
      host_(std::move(host)),
      events_(events),
      io_watcher_(loop, [this](int ready_events) { on_ready(ready_events); }),
      timeout_timer_(loop, [this] { fail(HttpError::timed_out); }) {}

void HttpClient::close() {
    is_waiting_ = false;
    timeout_timer_.stop();
    io_watcher_.stop();
    fd_.close();
}

void HttpClient::get(const std::string& target, Duration timeout) {
    is_waiting_ = true;
    was_reached_ = false;
    parser_.reset();
    unsent_ = "GET " + target + " HTTP/1.1\r\nHost: " + host_ + "\r\nAccept: application/json\r\n\r\n";
    if (!fd_) fd_ = connect_to(address_);
    if (!fd_) {
        fail(HttpError::cannot_connect);
        return;
    }
    io_watcher_.start(fd_.get(), EV_READ | EV_WRITE);
    timeout_timer_.start_once(timeout);
}

void HttpClient::on_ready(int ready_events) {
    if ((ready_events & EV_WRITE) && !send_pending()) {
        fail(HttpError::send_failed);
        return;
    }
    if (ready_events & EV_READ) receive();
}

/// Whether the connection still works.
bool HttpClient::send_pending() {
    const ssize_t sent = ::send(fd_.get(), unsent_.data(), unsent_.size(), MSG_NOSIGNAL);
    if (sent < 0 && !is_transient_send_error(errno)) return false;
    if (sent > 0) unsent_.erase(0, static_cast<size_t>(sent));
    if (unsent_.empty()) io_watcher_.start(fd_.get(), EV_READ);
    return true;
}

void HttpClient::receive() {
    std::array<char, receive_bytes> buffer;  // NOLINT(cppcoreguidelines-pro-type-member-init): recv fills it
    const ssize_t received = recv(fd_.get(), buffer.data(), buffer.size(), 0);
    if (received < 0 && is_transient_receive_error(errno)) return;
    const bool has_bytes = received > 0;
    if (!is_waiting_) {
        // An idle connection that the server closes is no error: the next request opens a new one.
        has_bytes ? fail(HttpError::unexpected_bytes) : close();
        return;
    }
    if (received < 0) {
        fail(HttpError::connection_reset);
        return;
    }
    was_reached_ = was_reached_ || has_bytes;
    switch (parser_.feed({buffer.data(), static_cast<size_t>(received)})) {
        case HttpResponseParser::Progress::complete: finish_request(); return;
        case HttpResponseParser::Progress::malformed:
            fail(has_bytes ? HttpError::malformed_response : HttpError::connection_closed);
            return;
        case HttpResponseParser::Progress::incomplete:
            if (!has_bytes) fail(HttpError::connection_closed);
    }
}

void HttpClient::finish_request() {
    is_waiting_ = false;
    timeout_timer_.stop();
    const HttpResponse response = parser_.take_response();
    if (!response.keeps_alive) close();
    events_.on_response(response);
}

void HttpClient::fail(HttpError error) {
    close();
    events_.on_http_error(error, was_reached_);
}

}  // namespace headrouter
