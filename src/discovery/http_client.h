/// Sends HTTP GET requests to one address, one at a time, on one persistent connection.
#pragma once
#include <string>
#include <string_view>

#include "discovery/http_response_parser.h"
#include "transport/event_watcher.h"
#include "transport/socket.h"

namespace headrouter {

/// How a request or the idle connection failed.
enum class HttpError {
    cannot_connect,
    send_failed,
    connection_reset,
    connection_closed,  ///< before the response was complete
    malformed_response,
    unexpected_bytes,  ///< received while no request was in flight
    timed_out
};

/// Returns a description of `error` for the log.
std::string_view describe(HttpError error);

/// Receives the result of each request. Both functions may send another request.
class HttpClientEvents {
   public:
    virtual ~HttpClientEvents() = default;
    virtual void on_response(const HttpResponse& response) = 0;

    /// Reports a failure; the connection is already closed. `was_reached`: bytes had been received from the
    /// server since the last request was sent.
    virtual void on_http_error(HttpError error, bool was_reached) = 0;
};

/// Sends requests and reports their responses. Keeps the connection open as long as the server does. Runs
/// on the thread of the event loop, which must outlive it.
class HttpClient {
   public:
    /// `host` is the value of the Host header.
    HttpClient(struct ev_loop* loop, const Address& address, std::string host, HttpClientEvents& events);

    /// Sends a request for `target`; the response has to be complete within `timeout`. An error may be
    /// reported before get() returns.
    void get(const std::string& target, Duration timeout);

    /// Drops the request in flight, if any, and closes the connection; the next request opens a new one.
    void close();

    /// Returns whether a request is in flight.
    bool is_waiting() const { return is_waiting_; }
    /// Returns whether bytes have been received since the last request was sent.
    bool was_reached() const { return was_reached_; }

   private:
    void on_ready(int ready_events);
    [[nodiscard]] bool send_pending();
    void receive();
    void finish_request();
    void fail(HttpError error);

    Address address_;
    std::string host_;
    HttpClientEvents& events_;
    Fd fd_;
    IoWatcher io_watcher_;
    TimerWatcher timeout_timer_;
    std::string unsent_;
    HttpResponseParser parser_;
    bool is_waiting_ = false;   // for a response
    bool was_reached_ = false;  // bytes were received since the last request was sent
};

}  // namespace headrouter
